package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/streamtracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/versionassigner"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// assignedStreams is what some instances know of the streams that may be resumed.
type assignedStreams struct {
	// revision is the lowest one up to which they have the assignments; 0 if one of them can't
	// list its exceptions.
	revision int64
	// exceptions are the hashes of the streams that did not begin by the assignments.
	exceptions map[originkeeper.Origin][]uint64
	// left is the time for which there may be streams that they do not know.
	left clock.Millis
}

func (a assignedStreams) plus(other assignedStreams) assignedStreams {
	sum := assignedStreams{revision: min(a.revision, other.revision), left: max(a.left, other.left), exceptions: map[originkeeper.Origin][]uint64{}}
	count := 0
	for _, exceptions := range []map[originkeeper.Origin][]uint64{a.exceptions, other.exceptions} {
		for origin, streams := range exceptions {
			sum.exceptions[origin] = append(sum.exceptions[origin], streams...)
			count += len(streams)
		}
	}
	if count > versionassigner.MaxExceptions {
		sum.revision, sum.exceptions = 0, nil
	}
	return sum
}

// exceptionsOf returns the versions of the exceptions of a service.
func (a assignedStreams) exceptionsOf(service string) map[uint64][]string {
	versions := map[uint64][]string{}
	for origin, streams := range a.exceptions {
		if origin.Service != service {
			continue
		}
		for _, stream := range streams {
			if !slices.Contains(versions[stream], origin.SoftwareVersion) {
				versions[stream] = append(versions[stream], origin.SoftwareVersion)
			}
		}
	}
	return versions
}

// advanceAssignments writes the assignments that are due, if this instance is the first
// that reaches the store.
func (f *Forwarder) advanceAssignments() {
	if f.now < f.nextAssignments {
		return
	}
	f.nextAssignments = f.now.Add(assignmentInterval)
	if f.now.Since(f.startedAt) < assignmentWarmup || f.draining || f.storeDown || !f.haveServers || f.ownEntry.Address == "" || f.instanceRank() != 0 {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(f.streamServices)) {
		f.advanceAssignment(service)
	}
}

func (f *Forwarder) advanceAssignment(service string) {
	view, known := f.assignments[service]
	servers := f.assignableServers(service)
	if len(servers) == 0 || (view.writingSince > 0 && f.now.Since(view.writingSince) < assignmentTimeout) {
		return
	}
	next, due := versionassigner.New(f.eras.Era(), f.streamRoutes, versionassigner.Shares(servers)), true
	if known {
		plan := versionassigner.View{Era: f.eras.Era(), Routes: f.streamRoutes, Servers: servers, Age: f.now.Since(view.since)}
		if !view.Record.Settled() {
			var assigned assignedStreams
			assigned, plan.Clean = f.allAssigned(view.Position)
			plan.Left, plan.Exceptions = assigned.left, assigned.exceptionsOf(service)
		}
		next, due = view.Record.Next(plan)
	} else if f.now < f.nextFirstAssignment {
		return
	}
	if !due {
		return
	}
	f.nextFirstAssignment = f.now.Add(assignmentTimeout)
	if known {
		view.writingSince = f.now
		f.assignments[service] = view
	}
	revision := objectstore.IfAbsent
	if view.Position.Era == f.eras.Era() {
		revision = view.Position.Revision
	}
	f.log(eventlog.New(eventlog.AssignmentWritten, "").With("service", service).With("shares", next.Shares()).With("settled", next.Settled()).With("ifRevision", revision))
	f.emit(WriteAssignment{Service: service, Record: next, IfRevision: revision})
}

// assignableServers returns the number of servers of the service by version, for the shares of
// streams. While a version is rolled out, its number stands for the share that it may have.
func (f *Forwarder) assignableServers(service string) map[string]int {
	servers, old := map[string]int{}, 0
	e, exposed := f.exposures[service]
	for _, server := range f.servers.Available(f.now, service) {
		servers[server.SoftwareVersion]++
		if exposed && server.SoftwareVersion != e.order.Target {
			old++
		}
	}
	if !exposed || old == 0 || servers[e.order.Target] == 0 {
		return servers
	}
	parts := 0
	switch {
	case e.final == exposurekeeper.RollBack || e.stoppedAt > 0:
	case e.final == exposurekeeper.Complete:
		parts = versionassigner.MaxShares
	default:
		parts = int(e.decision.Share * versionassigner.MaxShares)
	}
	for version, count := range servers {
		servers[version] = count * (versionassigner.MaxShares - parts)
	}
	servers[e.order.Target] = old * parts
	return servers
}

// allAssigned returns what all instances know of the streams that may be resumed. It reports
// false unless all of them have the assignment.
func (f *Forwarder) allAssigned(position storeposition.Position) (assignedStreams, bool) {
	if !f.vouchesForStreams() || position.Era != f.eras.Era() || !f.actsAsTop() || f.reachableCount() < f.instanceCount() {
		return assignedStreams{}, false
	}
	assigned := f.subtreeAssigned()
	for _, name := range f.neighborsIn(top) {
		assigned = assigned.plus(f.neighbors[name].assigned)
	}
	if f.memberRemovedAt > 0 {
		assigned.left = max(assigned.left, f.streamLifetime-f.now.Since(f.memberRemovedAt))
	}
	return assigned, assigned.revision >= position.Revision
}

// subtreeAssigned returns what the instances of the subtree know.
func (f *Forwarder) subtreeAssigned() assignedStreams {
	assigned := f.ownAssigned()
	for _, name := range f.neighborsIn(below) {
		assigned = assigned.plus(f.neighbors[name].assigned)
	}
	return assigned
}

// ownAssigned returns what this instance knows. Streams of its earlier starts may be resumed
// for some time.
func (f *Forwarder) ownAssigned() assignedStreams {
	assigned := assignedStreams{}
	if !f.settings.FirstStart {
		assigned.left = max(0, f.streamLifetime-f.now.Since(f.startedAt))
	}
	revision, settled := int64(0), true
	for service, view := range f.assignments {
		if !f.streamServices[service] {
			continue
		}
		if !view.Record.IsFor(f.eras.Era(), f.streamRoutes) || f.assignmentInUse(service).Position != view.Position || f.mayLeaveAssignment(service) || view.Position.Era != f.eras.Era() {
			return assigned
		}
		revision, settled = max(revision, view.Position.Revision), settled && view.Record.Settled()
	}
	if !settled && !f.findExceptions(&assigned) {
		return assigned
	}
	assigned.revision = revision
	return assigned
}

// findExceptions adds the streams that did not begin by the current assignments. It reports
// false if there are too many, or if the service of one is not that of its route.
func (f *Forwarder) findExceptions(assigned *assignedStreams) bool {
	assigned.exceptions = map[originkeeper.Origin][]uint64{}
	count := 0
	add := func(host, path, stream string, origin originkeeper.Origin) bool {
		route, found := f.desired.Match(host, path)
		service, single := route.SoleService()
		view, known := f.assignments[service]
		if !found || !single || !known || origin.Service != service {
			return false
		}
		if view.Record.Pick(stream) != origin.SoftwareVersion {
			assigned.exceptions[origin] = append(assigned.exceptions[origin], versionassigner.Hash(stream))
			count++
		}
		return count <= versionassigner.MaxExceptions
	}
	for _, fl := range f.flights {
		origin := fl.origin
		switch {
		case !fl.resumable() || (!fl.hasOrigin && !fl.attemptActive):
			// It is assigned before it is sent.
			continue
		case !fl.hasOrigin && fl.alternative != nil:
			return false
		case !fl.hasOrigin:
			origin = fl.attemptOrigin
		}
		if !add(fl.request.Host, fl.request.Path, fl.streamID(), origin) {
			return false
		}
	}
	unlisted := func(stream streamtracker.Stream) bool {
		return !add(stream.Host, stream.Path, stream.ID, stream.Origin)
	}
	return !f.endedStreams.Any(f.now, unlisted)
}
