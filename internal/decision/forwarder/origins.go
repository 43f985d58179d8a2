package forwarder

import (
	"strconv"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/hasher"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// originQueryTimeout is the time after which keepers that have not replied are asked
	// again: several round trips between failure domains. It doubles each time.
	originQueryTimeout = 40 * clock.Millisecond
	// maxOriginQueries limits how often a keeper is asked. The last wait is as long as a
	// busy instance takes to reply.
	maxOriginQueries = 3
)

// originLookup is a request that waits for the origin of the stream that it resumes.
type originLookup struct {
	id      uint64
	queries int
	// asked are the addresses of the keepers, replied those that do not know the origin.
	asked   map[string]bool
	replied map[string]bool
	// read is the number of the read of the assignment that the request waits for, of the
	// service; 0 for none.
	read uint64
	// presumed is the origin of a stream that its caller does not name, without a service if there
	// is none. contradicted reports whether an instance has seen another possible one.
	presumed     originkeeper.Origin
	contradicted bool
	// agreed are the addresses of the instances that have seen no other one.
	agreed map[string]bool
	// waited reports whether it has waited for the time from which an assignment shows it.
	waited  bool
	service string
}

// streamOriginOf returns the origin of the streams that begin at the server.
func streamOriginOf(server registry.Server) originkeeper.Origin {
	return originkeeper.Origin{Service: server.Service, SoftwareVersion: server.SoftwareVersion}
}

// originOf returns the origin of the streams that begin at the server with the identifier.
func (f *Forwarder) originOf(id string) originkeeper.Origin {
	server, _ := f.servers.Server(id)
	return streamOriginOf(server)
}

// mayRunAt reports whether the stream may begin or go on at the server.
func (fl *flight) mayRunAt(server registry.Server) bool {
	return !fl.hasOrigin || fl.origin == streamOriginOf(server)
}

// streamID returns the identifier of the request that brought the stream's first event. A caller that resumes a
// stream without naming it sends the same request again, whose content identifies a stream of a split route.
func (fl *flight) streamID() string {
	id := fl.id()
	switch {
	case fl.request.ResumedRequest != "":
		id = fl.request.ResumedRequest
	case fl.resumes() && fl.contentID() != "":
		id = fl.contentID()
	}
	if strings.ToValidUTF8(id, "") == id {
		return id
	}
	// Messages between instances contain only valid text.
	return strconv.QuoteToASCII(id)
}

// contentID returns an identifier of the request's content; empty where the route leads to one service only.
// There, the software version tells where an unnamed stream may go on.
func (fl *flight) contentID() string {
	if _, single := fl.route.SoleService(); single || fl.request.Fingerprint == "" {
		return ""
	}
	fields := []string{fl.request.Fingerprint, fl.request.Model}
	for _, part := range fl.request.PromptParts {
		fields = append(fields, part.ID)
	}
	return contentPrefix + hasher.Fields(fields...)
}

// contentPrefix distinguishes identifiers of contents from those of requests.
const contentPrefix = "content/"

// recordOrigin records that the caller receives an event of the current attempt. The
// caller may come back at any instance from now on.
func (f *Forwarder) recordOrigin(fl *flight) {
	if fl.partDelivered {
		return
	}
	fl.partDelivered = true
	if used, ok := fl.ways[fl.attempt]; ok && (f.restartedSince(fl.server, used.startedAt) || f.isReplaced(fl.server)) {
		// Either start of the server may have sent the event, and their software may differ.
		fl.origin, fl.hasOrigin = originkeeper.Origin{Service: fl.service, SoftwareVersion: doubtfulVersion}, true
		return
	}
	if !fl.hasOrigin {
		fl.origin, fl.hasOrigin = fl.attemptOrigin, true
	}
	if !fl.route.Resumable {
		return
	}
	f.keepOrigin(fl.streamID(), fl.origin)
	if content := fl.contentID(); content != "" && content != fl.streamID() {
		f.keepOrigin(content, fl.origin)
	}
}

// keepOrigin keeps the origin of a stream, and tells its keepers.
func (f *Forwarder) keepOrigin(stream string, origin originkeeper.Origin) {
	f.putOrigin(stream, origin)
	keepers, passOn := f.originKeepers(stream), f.tellsOneKeeper()
	if passOn {
		// The first one then tells the others.
		keepers = keepers[:min(1, len(keepers))]
	}
	f.sendBegan(originmessage.Message{Stream: stream, Origin: origin, PassOn: passOn}, keepers)
}

// doubtfulVersion is the software version of streams that go on at no other server. No server
// lists it.
const doubtfulVersion = "\x00doubtful"

// restartedSince reports whether a server is listed with another start.
func (f *Forwarder) restartedSince(id string, startedAt int64) bool {
	server, ok := f.servers.Server(id)
	return ok && server.StartedAt != startedAt
}

// sendBegan tells some keepers where a stream began.
func (f *Forwarder) sendBegan(message originmessage.Message, keepers []string) {
	message.Kind = originmessage.Began
	for _, address := range f.addressesOf(keepers) {
		f.sendOriginMessage(message, address)
	}
}

func (f *Forwarder) putOrigin(stream string, origin originkeeper.Origin) {
	before := f.origins.Dropped()
	f.origins.Put(f.now, stream, origin)
	if f.origins.Dropped() > before && f.now >= f.nextOriginsLog {
		f.nextOriginsLog = f.now.Add(originsLogInterval)
		f.log(eventlog.New(eventlog.OriginsDropped, "").With("dropped", f.origins.Dropped()).With("kept", f.origins.Len()))
	}
}

// originsLogInterval is the shortest time between two log entries about dropped origins.
const originsLogInterval = 10 * clock.Second

func (f *Forwarder) sendOriginMessage(message originmessage.Message, address string) {
	message.Address = f.settings.PeerAddress
	f.emit(SendOrigin{Message: message, Address: address})
}

// assignResumed assigns a server to a new request. One that resumes a stream first needs
// the stream's origin.
func (f *Forwarder) assignResumed(fl *flight) {
	if !fl.resumes() || fl.route.Kind != desired.Stream {
		f.assignServer(fl)
		return
	}
	if origin, known := f.origins.Find(f.now, fl.streamID()); known {
		f.resumeStream(fl, origin, f.settings.Name)
		return
	}
	fl.lookup = &originLookup{id: f.nextQueryID(), asked: map[string]bool{}, replied: map[string]bool{}, agreed: map[string]bool{}}
	if fl.route.Resumable && fl.request.ResumedRequest == "" && f.ledOnlyTo(fl.route, fl.service) {
		fl.lookup.presumed, _ = f.soleOrigin(fl.service)
	}
	f.lookups[fl.lookup.id] = fl
	if f.origins.Conflicting(f.now, fl.streamID()) {
		f.refuseUnknownOrigin(fl)
		return
	}
	f.askOriginKeepers(fl)
}

// askOriginKeepers asks the keepers that have not replied, or refuses the request if all of
// them have been asked often enough.
func (f *Forwarder) askOriginKeepers(fl *flight) {
	lookup := fl.lookup
	if lookup.read != 0 {
		f.refuseUnknownOrigin(fl)
		return
	}
	for _, address := range f.addressesOf(f.possibleOriginKeepers(fl.streamID())) {
		lookup.asked[address] = true
	}
	_, presumed := f.presumedOrigin(lookup)
	if lookup.queries == maxOriginQueries || (f.havePeers && len(lookup.replied) == len(lookup.asked)) || (lookup.queries > 0 && presumed) {
		f.resolveUnknownOrigin(fl)
		return
	}
	fl.checkAt = f.now.Add(originQueryTimeout << lookup.queries)
	lookup.queries++
	for _, address := range sortedKeys(lookup.asked) {
		if !lookup.replied[address] {
			f.sendOriginMessage(originmessage.Message{Kind: originmessage.Query, ID: lookup.id, Stream: fl.streamID(), Origin: lookup.presumed}, address)
		}
	}
}

// resolveUnknownOrigin looks for an origin that no keeper knows in the assignment, or takes the
// presumed one where no assignment can show it.
func (f *Forwarder) resolveUnknownOrigin(fl *flight) {
	if f.readAssignment(fl) {
		return
	}
	if origin, presumed := f.presumedOrigin(fl.lookup); presumed && fl.lookup.read == 0 {
		f.resumePresumed(fl, origin)
		return
	}
	f.refuseUnknownOrigin(fl)
}

// resumePresumed resumes a stream that its caller does not name at the presumed origin.
func (f *Forwarder) resumePresumed(fl *flight, origin originkeeper.Origin) {
	f.endLookup(fl)
	f.resumeStream(fl, origin, "servers")
}

// refuseUnknownOrigin refuses a request that resumes a stream whose origin nobody knows: at
// another software version, the caller would get a stream that does not fit together.
func (f *Forwarder) refuseUnknownOrigin(fl *flight) {
	entry := eventlog.New(eventlog.OriginUnknown, fl.id()).With("stream", fl.streamID()).With("asked", len(fl.lookup.asked)).With("replied", len(fl.lookup.replied))
	f.log(entry.With("after", f.now.Since(fl.arrivedAt)))
	f.refuse(fl, ReasonUnknownOrigin, f.jitteredRetryAfter())
}

// resumeStream assigns a server of the stream's origin to the request. The route must still
// lead to its service, which need not be the one that was drawn for the request.
func (f *Forwarder) resumeStream(fl *flight, origin originkeeper.Origin, source string) {
	f.log(eventlog.New(eventlog.OriginFound, fl.id()).With("stream", fl.streamID()).With("service", origin.Service).With("softwareVersion", origin.SoftwareVersion).With("source", source).With("after", f.now.Since(fl.arrivedAt)))
	if !fl.route.LeadsTo(origin.Service) {
		f.refuse(fl, ReasonOtherService, f.jitteredRetryAfter())
		return
	}
	fl.service = origin.Service
	fl.origin, fl.hasOrigin = origin, true
	f.assignServer(fl)
}

// handleOriginMessage handles a message to or from a keeper of origins.
func (f *Forwarder) handleOriginMessage(message originmessage.Message) {
	switch message.Kind {
	case originmessage.Began:
		f.putOrigin(message.Stream, message.Origin)
		if keepers := f.originKeepers(message.Stream); message.PassOn && len(keepers) > 0 {
			// The first one would be of this domain, which has a copy now.
			f.sendBegan(originmessage.Message{Stream: message.Stream, Origin: message.Origin}, keepers[1:])
		}
	case originmessage.Query:
		reply := originmessage.Message{Kind: originmessage.Reply, ID: message.ID, Stream: message.Stream}
		reply.Origin, reply.Known = f.origins.Find(f.now, message.Stream)
		reply.Conflicting = f.origins.Conflicting(f.now, message.Stream) || (message.Origin.Service != "" && f.contradicts(message.Origin))
		if !reply.Known && !reply.Conflicting {
			reply.Origin = message.Origin
		}
		f.sendOriginMessage(reply, message.Address)
	case originmessage.Reply:
		f.handleOriginReply(message)
	}
}

func (f *Forwarder) handleOriginReply(reply originmessage.Message) {
	fl, ok := f.lookups[reply.ID]
	if !ok || reply.Stream != fl.streamID() {
		return
	}
	presumes := fl.lookup.presumed.Service != ""
	fl.lookup.contradicted = fl.lookup.contradicted || (presumes && reply.Conflicting)
	if fl.lookup.read != 0 && !reply.Known {
		return
	}
	if reply.Known {
		f.endLookup(fl)
		f.putOrigin(reply.Stream, reply.Origin)
		f.resumeStream(fl, reply.Origin, reply.Address)
		return
	}
	if reply.Conflicting && !presumes {
		f.refuseUnknownOrigin(fl)
		return
	}
	fl.lookup.replied[reply.Address] = true
	if reply.Origin == fl.lookup.presumed {
		// The reply of an earlier build says nothing about the presumed origin.
		fl.lookup.agreed[reply.Address] = true
	}
	if f.havePeers && len(fl.lookup.replied) == len(fl.lookup.asked) {
		f.resolveUnknownOrigin(fl)
	}
}

// endLookup drops the flight's lookup, if there is one.
func (f *Forwarder) endLookup(fl *flight) {
	if fl.lookup != nil {
		delete(f.lookups, fl.lookup.id)
		fl.lookup = nil
	}
}
