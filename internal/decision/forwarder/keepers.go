package forwarder

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/backlogkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/keepermessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// queriedChoices is the number of engines whose keepers are asked before a prompt is
	// sent.
	queriedChoices = 3
	// queryTimeout is the time after which the choice is made without the replies that
	// are missing: several round trips between failure domains.
	queryTimeout = 15 * clock.Millisecond
	// silentKeeperPause is the time for which a keeper that has not replied is not asked.
	silentKeeperPause = 3 * clock.Second
)

// query is a choice of an engine that waits for the replies of keepers.
type query struct {
	id       uint64
	deadline clock.Millis
	// servers are the engines to choose from.
	servers []string
	// keepers are the keepers whose replies are missing, by address.
	keepers map[string]string
	known   map[string]scheduler.Known
}

// queryKeepers asks the keepers of some engines for their state. It reports false if the
// choice can be made at once: all instances exchange digests with each other, or there is
// nothing to choose.
func (f *Forwarder) queryKeepers(fl *flight, request scheduler.Request, candidates []scheduler.Candidate) bool {
	if !fl.hasPrompt() || f.arrangement.Flat() || len(candidates) < 2 {
		return false
	}
	fl.query = &query{id: f.nextQueryID(), deadline: f.now.Add(queryTimeout), keepers: map[string]string{}, known: map[string]scheduler.Known{}}
	entries := map[string][]keepermessage.Entry{}
	for _, choice := range f.scheduler.Shortlist(f.now, request, candidates, queriedChoices, fl.id()) {
		fl.query.servers = append(fl.query.servers, choice.Server)
		parts := request.SharedPartKeys(choice.Salt)
		switch name, address := f.keeperOf(choice.Server); {
		case name == f.settings.Name:
			fl.query.known[choice.Server] = f.knownState(choice.Server, parts)
		case address != "":
			fl.query.keepers[address] = name
			entries[address] = append(entries[address], keepermessage.Entry{Server: digest.ID(choice.Server), Parts: parts})
		}
	}
	if len(entries) == 0 {
		return false
	}
	for _, address := range slices.Sorted(maps.Keys(entries)) {
		message := keepermessage.Message{Kind: keepermessage.Query, Address: f.settings.PeerAddress, ID: fl.query.id, Entries: entries[address]}
		f.emit(SendToKeeper{Message: message, Address: address})
	}
	f.queries[fl.query.id] = fl
	fl.waiting, fl.checkAt = true, fl.query.deadline
	return true
}

// knownState returns the state of an engine that this instance keeps.
func (f *Forwarder) knownState(server string, parts [][2]uint64) scheduler.Known {
	return scheduler.Known{BacklogMs: float64(f.keeper.Backlog(f.now, server)), CachedTokens: f.scheduler.CachedPrefix(f.now, server, parts)}
}

func (f *Forwarder) nextQueryID() uint64 {
	f.queryID++
	return f.queryID
}

// keeperOf returns the name and the address of the instance that keeps the engine's
// backlog, the same at all instances; empty if there is none. If it is silent, another one
// takes its place.
func (f *Forwarder) keeperOf(server string) (name, address string) {
	if f.keepers == nil {
		f.assignKeepers()
	}
	name = f.keepers[server]
	if f.isSilent(name) {
		name = ""
		for _, candidate := range f.keeperNames(server) {
			if !f.isSilent(candidate) && (name == "" || backlogkeeper.Score(server, candidate) > backlogkeeper.Score(server, name)) {
				name = candidate
			}
		}
	}
	if name == f.settings.Name {
		return name, f.settings.PeerAddress
	}
	return name, f.peers[digest.ID(name)].Address
}

func (f *Forwarder) isSilent(keeper string) bool {
	until, silent := f.silentKeepers[keeper]
	return silent && f.now < until
}

// assignKeepers assigns the engines of each failure domain to its instances.
func (f *Forwarder) assignKeepers() {
	engines := map[string][]string{}
	for _, server := range f.servers.All() {
		if len(server.Entry.WeightVersions) > 0 {
			engines[server.Domain] = append(engines[server.Domain], server.ID)
		}
	}
	f.keepers = map[string]string{}
	for _, ids := range engines {
		maps.Copy(f.keepers, backlogkeeper.Assign(ids, f.keeperNames(ids[0])))
	}
}

// keeperNames returns the instances that may keep the engine's backlog: those of its
// failure domain that exchange the fewest digests.
func (f *Forwarder) keeperNames(server string) []string {
	known, _ := f.servers.Server(server)
	if names := f.arrangement.Leaves(known.Domain); len(names) > 0 {
		return names
	}
	if names := f.arrangement.Domain(known.Domain); len(names) > 0 {
		return names
	}
	return f.arrangement.Tops()
}

// handleKeeperMessage handles a query, a reply or a report.
func (f *Forwarder) handleKeeperMessage(message keepermessage.Message) {
	switch message.Kind {
	case keepermessage.Query:
		reply := keepermessage.Message{Kind: keepermessage.Reply, Address: f.settings.PeerAddress, ID: message.ID}
		for _, entry := range message.Entries {
			known := f.knownState(f.serverNames[entry.Server], entry.Parts)
			reply.Entries = append(reply.Entries, keepermessage.Entry{Server: entry.Server, Time: clock.Millis(known.BacklogMs), CachedTokens: known.CachedTokens})
		}
		f.emit(SendToKeeper{Message: reply, Address: message.Address})
	case keepermessage.Added:
		for _, entry := range message.Entries {
			if server, ok := f.serverNames[entry.Server]; ok {
				f.keeper.Add(f.now, server, entry.Time)
				f.scheduler.ReceiveSent(f.now, map[string][][2]uint64{server: entry.Parts})
			}
		}
	case keepermessage.Reply:
		f.handleKeeperReply(message)
	}
}

func (f *Forwarder) handleKeeperReply(reply keepermessage.Message) {
	fl, ok := f.queries[reply.ID]
	if !ok {
		return
	}
	for _, entry := range reply.Entries {
		fl.query.known[f.serverNames[entry.Server]] = scheduler.Known{BacklogMs: float64(entry.Time), CachedTokens: entry.CachedTokens}
	}
	delete(fl.query.keepers, reply.Address)
	if len(fl.query.keepers) == 0 {
		f.chooseQueried(fl)
	}
}

// chooseQueried makes the choice for which keepers were asked. Keepers that have not
// replied are not asked for some time.
func (f *Forwarder) chooseQueried(fl *flight) {
	asked := fl.query
	f.endQuery(fl)
	fl.waiting = false
	if len(f.silentKeepers) > maxSilentKeepers {
		clear(f.silentKeepers)
	}
	for _, name := range asked.keepers {
		f.silentKeepers[name] = f.now.Add(silentKeeperPause)
	}
	candidates := f.candidatesOrLeaving(fl)
	for i, candidate := range candidates {
		if known, ok := asked.known[candidate.Server]; ok {
			candidates[i].Known = &known
		}
	}
	shortlisted := slices.DeleteFunc(slices.Clone(candidates), func(candidate scheduler.Candidate) bool {
		return !slices.Contains(asked.servers, candidate.Server)
	})
	if _, _, full := f.chooseAdmitted(fl, f.schedulerRequest(fl), shortlisted, false); full {
		shortlisted = candidates
	}
	f.chooseServer(fl, f.schedulerRequest(fl), shortlisted)
}

// maxSilentKeepers limits the keepers that are remembered as silent.
const maxSilentKeepers = 512

// endQuery drops the flight's query, if there is one.
func (f *Forwarder) endQuery(fl *flight) {
	if fl.query != nil {
		delete(f.queries, fl.query.id)
		fl.query = nil
	}
}

// reportAdded tells the engine's keeper of a prompt that is sent.
func (f *Forwarder) reportAdded(choice scheduler.Choice, request scheduler.Request) {
	if f.arrangement.Flat() || request.PromptTokens == 0 {
		return
	}
	work := f.scheduler.PrefillTime(choice.Server, choice.UncachedTokens)
	parts := request.SharedPartKeys(choice.Salt)
	name, address := f.keeperOf(choice.Server)
	if name == f.settings.Name {
		f.keeper.Add(f.now, choice.Server, work)
		return
	}
	if address != "" {
		entries := []keepermessage.Entry{{Server: digest.ID(choice.Server), Time: work, Parts: parts}}
		f.emit(SendToKeeper{Message: keepermessage.Message{Kind: keepermessage.Added, Address: f.settings.PeerAddress, Entries: entries}, Address: address})
	}
}
