package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/streamtracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/versionassigner"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// assignmentInterval is the time between two checks whether an assignment is to be
	// written, and assignmentTimeout the time after which a write is repeated.
	assignmentInterval = 100 * clock.Millisecond
	assignmentTimeout  = 2 * clock.Second
	// assignmentWarmup is the time after the start until an instance knows which others could
	// write: they would all do so when they start together.
	assignmentWarmup = 1500 * clock.Millisecond
	// assignmentRepeatTime is the time for which digests repeat a new assignment of at most
	// maxAssignmentBytes, so that it reaches all instances before the next watch of the store.
	assignmentRepeatTime = 800 * clock.Millisecond
	maxAssignmentBytes   = 2048
	// maxResumeWait limits the wait for the time from which a stream's version is known.
	maxResumeWait = clock.Second
	// deliveryTime is the time for which the caller of a completed stream may not have
	// received its end yet.
	deliveryTime = 500 * clock.Millisecond
)

// Assignment is the assignment of a service's streams as it is stored.
type Assignment struct {
	Record   versionassigner.Record
	Position storeposition.Position
}

// newAssignments returns the assignments that neighbors may not have yet. Large ones reach
// them as copies of the store.
func (f *Forwarder) newAssignments() []digest.Assignment {
	var recent []digest.Assignment
	for _, service := range slices.Sorted(maps.Keys(f.assignments)) {
		view := f.assignments[service]
		if f.now.Since(view.since) >= assignmentRepeatTime {
			continue
		}
		if value := view.Record.Encode(); len(value) <= maxAssignmentBytes {
			recent = append(recent, digest.Assignment{Service: service, Era: view.Position.Era, Revision: view.Position.Revision, Value: value})
		}
	}
	return recent
}

// mergeAssignments takes over the assignments that a neighbor has sent.
func (f *Forwarder) mergeAssignments(message digest.Digest) {
	for _, sent := range message.Assignments {
		if record, err := versionassigner.Decode(sent.Value); err == nil && sent.Era == f.eras.Era() {
			f.seeAssignment(sent.Service, Assignment{Record: record, Position: storeposition.Position{Era: sent.Era, Revision: sent.Revision}})
		}
	}
}

// streamAssignments has the assignments of streams and what they depend on.
type streamAssignments struct {
	// assignments are the assignments of streams by service. streamRoutes identifies the routes
	// of resumable streams, streamServices their services, and streamLifetime is the longest time
	// for which a caller resumes a stream. assignmentsListed reports whether the instance has had a
	// list of the stored ones.
	assignments         map[string]assignmentView
	assignmentsListed   bool
	nextAssignments     clock.Millis
	nextFirstAssignment clock.Millis
	streamRoutes        string
	streamServices      map[string]bool
	streamLifetime      clock.Millis
	endedStreams        *streamtracker.Tracker
	// assignmentReads counts the requests that waited for an assignment, and readingAssignments
	// has the count at which the read in flight was sent, by service.
	assignmentReads    uint64
	readingAssignments map[string]uint64
	// memberRemovedAt is the time at which an instance was last removed from the list.
	memberRemovedAt clock.Millis
}

func newStreamAssignments() streamAssignments {
	return streamAssignments{assignments: map[string]assignmentView{}, readingAssignments: map[string]uint64{}, endedStreams: streamtracker.New()}
}

// assignmentView is what the instance knows of an assignment.
type assignmentView struct {
	Assignment
	// inUse is the one by which this instance begins streams: the newest of whose versions it
	// lists servers. It has no position before the first one.
	inUse Assignment
	// since is the time at which this instance first had it.
	since clock.Millis
	// writingSince is the time of the write in flight; 0 for none.
	writingSince clock.Millis
}

// handleAssignmentsListed takes over the stored assignments that are newer.
func (f *Forwarder) handleAssignmentsListed(listed AssignmentsListed) {
	f.assignmentsListed = true
	for service, stored := range listed.Assignments {
		f.seeAssignment(service, stored)
	}
	maps.DeleteFunc(f.assignments, func(service string, view assignmentView) bool {
		_, found := listed.Assignments[service]
		return !found && view.Position.Before(listed.Position)
	})
}

func (f *Forwarder) seeAssignment(service string, stored Assignment) {
	if known, found := f.assignments[service]; !found || stored.Position.After(known.Position) {
		f.assignments[service] = assignmentView{Assignment: stored, inUse: known.inUse, since: f.now}
		f.expediteRelay()
	}
}

// handleAssignmentWritten handles the store's response to a WriteAssignment.
func (f *Forwarder) handleAssignmentWritten(written AssignmentWritten) {
	view := f.assignments[written.Service]
	view.writingSince = 0
	if view.Position != (storeposition.Position{}) {
		f.assignments[written.Service] = view
	}
	position := storeposition.Position{Era: written.Response.Era, Revision: written.Response.Version}
	if position.Era != f.eras.Era() {
		return
	}
	switch written.Response.Outcome {
	case objectstore.Done:
		f.seeAssignment(written.Service, Assignment{Record: written.Record, Position: position})
	case objectstore.Conflict:
		if record, err := versionassigner.Decode(written.Response.Value); err == nil {
			f.seeAssignment(written.Service, Assignment{Record: record, Position: position})
		}
	}
}

// awaitsAssignments reports whether the store may have assignments that this instance, which has
// just started, does not know yet.
func (f *Forwarder) awaitsAssignments() bool {
	return !f.assignmentsListed && !f.settings.FirstStart && f.vouchesForStreams() && len(f.streamServices) > 0
}

// mayBeginStream reports whether it is known at which version a stream of the route may begin.
func (f *Forwarder) mayBeginStream(route desired.Route) bool {
	service, single := route.SoleService()
	_, known := f.assignments[service]
	return route.Kind != desired.Stream || !route.Resumable || !single || known || !f.awaitsAssignments()
}

// assignVersion limits a stream that begins to the version that the assignment gives it.
// Before there is an assignment, it may begin anywhere.
func (f *Forwarder) assignVersion(fl *flight) {
	if fl.partDelivered || fl.resumes() || !fl.resumable() || fl.alternative != nil {
		return
	}
	fl.hasOrigin = false
	f.streamLifetime = max(f.streamLifetime, fl.request.CallerTimeout)
	inUse := f.assignmentInUse(fl.service)
	if inUse.Position == (storeposition.Position{}) {
		return
	}
	if version := inUse.Record.Pick(fl.id()); !f.isStopped(fl.service, version) {
		fl.origin, fl.hasOrigin = originkeeper.Origin{Service: fl.service, SoftwareVersion: version}, true
	}
}

// isStopped reports whether the version of the service's software gets no new requests, because
// it is bad.
func (f *Forwarder) isStopped(service, version string) bool {
	e, exposed := f.exposures[service]
	return exposed && version == e.order.Target && (e.final == exposurekeeper.RollBack || e.stoppedAt > 0)
}

// mayLeaveAssignment reports whether streams may begin at another version than the assignment in
// use gives them: that of a roll-out may be stopped at any time.
func (f *Forwarder) mayLeaveAssignment(service string) bool {
	e, exposed := f.exposures[service]
	if !exposed {
		return false
	}
	_, shared := f.assignmentInUse(service).Record.Shares()[e.order.Target]
	return e.final == exposurekeeper.Continue || (shared && f.isStopped(service, e.order.Target))
}

// assignmentInUse returns the assignment by which this instance begins streams of the service.
// A newer one is taken into use when servers of all its versions are listed: the lists of
// servers and the assignments arrive independently.
func (f *Forwarder) assignmentInUse(service string) Assignment {
	view, known := f.assignments[service]
	if !known || view.inUse.Position == view.Position {
		return view.inUse
	}
	missing := view.Record.Shares()
	for _, server := range f.servers.All() {
		if server.Service == service {
			delete(missing, server.SoftwareVersion)
		}
	}
	if len(missing) == 0 {
		view.inUse = view.Assignment
		f.assignments[service] = view
	}
	return view.inUse
}

// readAssignment asks the store for the assignment that gives the origin of a stream which
// no keeper knows. A copy may be older than the stream. It reports false if the assignment
// can't show it: callers of routes without keys may come from instances that have not
// reached the store for long.
func (f *Forwarder) readAssignment(fl *flight) bool {
	service, single := fl.route.SoleService()
	if !single || !fl.resumable() || fl.route.Open || !f.vouchesForStreams() || fl.lookup.read != 0 {
		return false
	}
	f.assignmentReads++
	fl.lookup.read = f.assignmentReads
	fl.lookup.service = service
	fl.checkAt = min(fl.deadline, f.now.Add(assignmentTimeout))
	if f.readingAssignments[service] == 0 {
		f.readingAssignments[service] = f.assignmentReads
		f.emit(ReadAssignment{Service: service})
	}
	return true
}

// handleAssignmentRead resumes or refuses the streams that waited for the read. Those that
// came after it was sent wait for the next one.
func (f *Forwarder) handleAssignmentRead(read AssignmentRead) {
	sent := f.readingAssignments[read.Service]
	delete(f.readingAssignments, read.Service)
	var record versionassigner.Record
	var age clock.Millis
	err := fmt.Errorf("%s", read.Response.Outcome)
	if read.Response.Outcome == objectstore.Done && read.Response.Era == f.eras.Era() {
		record, err = versionassigner.Decode(read.Response.Value)
		if view := f.assignments[read.Service]; view.Position == (storeposition.Position{Era: read.Response.Era, Revision: read.Response.Version}) {
			age = f.now.Since(view.since)
			record = record.At(age)
		}
	}
	again := false
	for _, id := range sortedFlights(f.lookups) {
		fl := f.lookups[id]
		if fl.lookup.service != read.Service || fl.lookup.read == 0 || f.now >= fl.deadline {
			continue
		}
		if fl.lookup.read > sent {
			again = true
			continue
		}
		origin, known := f.assignedOrigin(fl, record)
		if err != nil || !known {
			origin, presumed := f.presumedOrigin(fl.lookup)
			if presumed && f.showsAssignment(read.Response) && f.namesOnly(record, age, origin.SoftwareVersion) {
				f.resumePresumed(fl, origin)
				continue
			}
			f.awaitOrigin(fl, record, age)
			continue
		}
		f.endLookup(fl)
		f.putOrigin(fl.streamID(), origin)
		f.resumeStream(fl, origin, "assignment")
	}
	if again {
		f.assignmentReads++
		f.readingAssignments[read.Service] = f.assignmentReads
		f.emit(ReadAssignment{Service: read.Service})
	}
}

// showsAssignment reports whether the response shows which assignment is in the store, if any.
func (f *Forwarder) showsAssignment(response objectstore.Response) bool {
	return response.Era == f.eras.Era() && (response.Outcome == objectstore.Done || response.Outcome == objectstore.NotFound)
}

// awaitOrigin lets a request wait until the record shows its origin, if that is soon, or
// refuses it.
func (f *Forwarder) awaitOrigin(fl *flight, record versionassigner.Record, age clock.Millis) {
	wait, expected := record.SettledIn(age)
	if !expected || fl.lookup.waited || wait > min(maxResumeWait, fl.remaining(f.now)/waitDivisor) {
		f.refuseUnknownOrigin(fl)
		return
	}
	fl.lookup.waited, fl.lookup.read = true, 0
	fl.checkAt = f.now.Add(wait)
}

// assignedOrigin returns the origin of the stream by the record. The caller must name the
// stream, unless all streams began at one version.
func (f *Forwarder) assignedOrigin(fl *flight, record versionassigner.Record) (originkeeper.Origin, bool) {
	if !record.IsFor(f.eras.Era(), f.streamRoutes) {
		return originkeeper.Origin{}, false
	}
	version, known := record.Sole()
	if fl.request.ResumedRequest != "" {
		version, known = record.Resolve(fl.streamID())
	}
	return originkeeper.Origin{Service: fl.lookup.service, SoftwareVersion: version}, known
}

// vouchesForStreams reports whether instances that have not reached the store for long begin
// no streams, so that those of an earlier assignment end.
func (f *Forwarder) vouchesForStreams() bool {
	return f.settings.Bounds.StrictKeys && f.desired.RequiresKeys()
}

// trackEnded keeps a stream whose caller may resume it.
func (f *Forwarder) trackEnded(fl *flight) {
	if !fl.partDelivered || !fl.resumable() {
		return
	}
	until := fl.arrivedAt.Add(f.streamLifetime)
	if fl.request.CallerTimeout > 0 {
		until = fl.arrivedAt.Add(fl.request.CallerTimeout)
	}
	if fl.completed {
		until = min(until, f.now.Add(deliveryTime))
	}
	f.endedStreams.Add(f.now, streamtracker.Stream{ID: fl.streamID(), Host: fl.request.Host, Path: fl.request.Path, Origin: fl.origin}, until)
}

// updateStreamRoutes records the routes of resumable streams and the longest time for which
// a caller resumes one. That time never falls: callers do not learn of a shorter timeout.
func (f *Forwarder) updateStreamRoutes() {
	var routes []string
	f.streamServices = map[string]bool{}
	before := f.routeSplits
	f.routeSplits = map[string]clock.Millis{}
	for _, route := range f.desired.Routes {
		if route.Kind != desired.Stream || !route.Resumable {
			continue
		}
		key := splitKey(route)
		routes = append(routes, key)
		since, known := before[key]
		if !known && (before != nil || !f.settings.FirstStart) {
			since = f.now
		}
		f.routeSplits[key] = since
		if service, single := route.SoleService(); single {
			f.streamServices[service] = true
		}
		if route.Timeout <= 0 {
			f.streamLifetime = max(f.streamLifetime, maxStreamTime)
		}
		f.streamLifetime = max(f.streamLifetime, route.Timeout)
	}
	slices.Sort(routes)
	f.streamRoutes = fmt.Sprintf("%016x", xxhash.Sum64String(strings.Join(routes, "\n")))
}

// splitKey identifies a route with its traffic split.
func splitKey(route desired.Route) string {
	return fmt.Sprint(route.Host, " ", route.Prefix, " ", route.Split)
}

// ledOnlyTo reports whether, as far as this instance has seen, streams of the route that callers may still resume
// began at the service.
func (f *Forwarder) ledOnlyTo(route desired.Route, service string) bool {
	sole, single := route.SoleService()
	since, known := f.routeSplits[splitKey(route)]
	return single && sole == service && known && (since == 0 || f.now.Since(since) >= maxStreamTime)
}

// sortedFlights returns the keys of lookups in order.
func sortedFlights(lookups map[uint64]*flight) []uint64 { return slices.Sorted(maps.Keys(lookups)) }
