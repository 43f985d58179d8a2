package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/limitsharer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// brittleServiceMemory is the time for which a service counts as brittle after one of its servers
// has said so: one that has just started says so only in its first response.
const brittleServiceMemory = 5 * clock.Second

// freshTime is the time after the start of a server in which its room grows from a few requests.
const freshTime = 10 * clock.Second

// brittleService is what the servers of a service said last.
type brittleService struct {
	rejections int
	saidAt     clock.Millis
}

// roomGroup is a group of servers that probably take the same number of requests.
type roomGroup struct {
	service string
	slots   int
}

// groupCeiling has what the rejections of a group show, and the ceiling to assume for the others;
// 0 if there is none.
type groupCeiling struct {
	shown   *limitsharer.Ceilings
	assumed int
}

// recordCeiling records the ceiling of a server that has rejected a request.
func (f *Forwarder) recordCeiling(server registry.Server, ceiling int) {
	group := roomGroup{service: server.Service, slots: server.Slots}
	found, ok := f.groupCeilings[group]
	if !ok {
		if len(f.groupCeilings) >= maxServerNames {
			clear(f.groupCeilings)
		}
		found.shown = limitsharer.NewCeilings()
	}
	found.shown.Record(server.ID, ceiling)
	members := 0
	for _, other := range f.servers.All() {
		if other.Service == group.service && other.Slots == group.slots {
			members++
		}
	}
	found.assumed, _ = found.shown.Typical(members)
	f.groupCeilings[group] = found
}

// handleBrittleness handles what a server says of the rejections that it bears.
func (f *Forwarder) handleBrittleness(notice ServerNotice) {
	if notice.InvalidBrittle != "" {
		f.log(eventlog.New(eventlog.ServerBrittleInvalid, "").With("server", notice.Server).With("value", notice.InvalidBrittle))
	}
	start := limitsharer.Start{Server: notice.Server, StartedAt: notice.StartedAt}
	server, listed := f.servers.Server(notice.Server)
	switch {
	case notice.Brittle.Known:
		if listed {
			f.brittleServices[server.Service] = brittleService{rejections: notice.Brittle.Rejections, saidAt: f.now}
		}
		if f.rooms.SetBrittle(f.now, start, notice.Brittle.Rejections, server.Slots, false) {
			f.logBrittle(start, "response")
			f.expediteRelay()
		}
	case notice.NotBrittle && f.rooms.Lift(f.now, start):
		delete(f.brittleServices, server.Service)
		f.logBrittle(start, "response")
		f.expediteRelay()
	}
}

func (f *Forwarder) logBrittle(start limitsharer.Start, source string) {
	entry := eventlog.New(eventlog.ServerBrittle, "").With("server", start.Server).With("startedAt", start.StartedAt)
	if rejections, brittle := f.rooms.Brittle(start); brittle {
		f.log(entry.With("rejections", rejections).With("room", f.rooms.Room(f.now, start)).With("from", source))
		return
	}
	f.log(entry.With("rejections", "any").With("from", source))
}

// mergeRooms takes over what a neighbor knows of brittle servers.
func (f *Forwarder) mergeRooms(notices []limitsharer.RoomNotice) {
	for _, changed := range f.rooms.Merge(f.now, notices) {
		if server, listed := f.servers.Server(changed.Server); listed && changed.Rejections != limitsharer.Lifted {
			f.brittleServices[server.Service] = brittleService{rejections: changed.Rejections, saidAt: f.now}
			if changed.Ceiling < changed.Slots {
				f.recordCeiling(server, changed.Ceiling)
			}
		}
		f.logBrittle(changed.Start, "peer")
		f.expediteRelay()
	}
}

// recordRejection records that a server has declined a request, for want of room if it is brittle.
func (f *Forwarder) recordRejection(id string) {
	server, ok := f.servers.Server(id)
	if !ok || !f.rooms.Reject(f.now, startOf(server), f.scheduler.ServerLoad(f.now, id).Requests) {
		return
	}
	f.recordCeiling(server, f.rooms.Ceiling(startOf(server)))
	f.logBrittle(startOf(server), "rejection")
	f.expediteRelay()
}

// roomPart returns the number of requests that this instance may have at a brittle server. It
// reports false for a server that is not brittle.
func (f *Forwarder) roomPart(server registry.Server) (int, bool) {
	start := startOf(server)
	if _, brittle := f.rooms.Brittle(start); !brittle {
		said, ok := f.brittleServices[server.Service]
		if !ok || f.rooms.Known(start) || f.now.Since(said.saidAt) > brittleServiceMemory {
			return 0, false
		}
		seenAt, seen := f.startsSeen[server.ID]
		f.rooms.SetBrittle(f.now, start, said.rejections, server.Slots, seen && f.now.Since(seenAt) < freshTime)
	}
	if assumed := f.groupCeilings[roomGroup{service: server.Service, slots: server.Slots}].assumed; assumed > 0 {
		f.rooms.Assume(f.now, start, assumed)
	}
	instances := max(1, f.arrangement.Size())
	offset := int(balancer.Rendezvous(uint64(server.StartedAt), server.ID) % uint64(instances))
	rank := (f.arrangement.Rank(f.settings.Name) + offset) % instances
	return limitsharer.Part(f.rooms.Room(f.now, start), rank, instances), true
}

func (f *Forwarder) isBrittle(server registry.Server) bool {
	_, brittle := f.rooms.Brittle(startOf(server))
	return brittle
}

// hasRoom reports whether this instance may send another request to the server.
func (f *Forwarder) hasRoom(server registry.Server) bool {
	part, brittle := f.roomPart(server)
	return !brittle || (!f.rooms.Stopped(f.now, startOf(server)) && f.scheduler.OwnRequests(server.ID) < part)
}

// roomExpected reports whether one of the brittle servers may have room for the request before it
// has waited for too long: fewer requests wait than this instance may have there.
func (f *Forwarder) roomExpected(fl *flight, servers []registry.Server) bool {
	room := 0
	for _, server := range servers {
		if part, brittle := f.roomPart(server); brittle && !server.Down() && !fl.triedServers[server.ID] && fl.mayRunAt(server) {
			room += part
		}
	}
	if room == 0 {
		return false
	}
	for _, other := range f.flights {
		if other != fl && other.waiting && other.service == fl.service && other.query == nil && !fl.before(other) {
			room--
		}
	}
	return room > 0
}
