package router

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/tracker"
)

// rightsKey keeps the ranks for rights apart from those for other roles.
const rightsKey uint64 = 0x7269676874730000

// leaseWatchers is how many instances of a domain watch a lease.
const leaseWatchers = 2

// holdingKey names one shard of one domain's rights.
type holdingKey struct {
	domain string
	shard  int32
}

func leaseName(domain string, shard int) string {
	return fmt.Sprintf("leases/rights/%s/%d", domain, shard)
}

// leaseIdentity returns the identity under which the instance holds leases. Its
// place is name and address: a process that listens there is the only one, so a
// process that starts there knows that the one before has ended.
func leaseIdentity(settings Settings) string {
	return tracker.Identity(settings.Name+"@"+settings.Address, settings.Incarnation)
}

// leaseStep takes the next step of the shard's lease and asks for the one after.
// Timers that were set before are void.
func (r *Router) leaseStep(shard int) {
	r.leaseTurns[shard]++
	lease := r.leases[shard]
	place := r.rank(rightsKey + uint64(shard))
	serves := !r.draining && r.ready()
	lease = lease.WithWatched(serves && place < leaseWatchers)
	lease = lease.WithWanted(serves && (r.rights.Holds(shard) || (place == 0 && !r.claimed(shard))))
	r.dropLapsed(shard)
	switch step := lease.Next(r.now).(type) {
	case leaser.Read:
		lease = lease.WithAsked()
		r.call(leaseReadCall{shard: shard}, objectstore.Get{Name: lease.Name()})
	case leaser.Write:
		lease = lease.WithAsked()
		r.writeLease(shard, step)
	case leaser.Wait:
		r.at(step.Until, leaseDue{shard: shard, turn: r.leaseTurns[shard]})
	}
	r.leases[shard] = lease
}

// leaseTimer takes a step unless the timer is void.
func (r *Router) leaseTimer(due leaseDue) {
	if due.turn == r.leaseTurns[due.shard] {
		r.leaseStep(due.shard)
	}
}

// leaseSteps takes the next step of every lease.
func (r *Router) leaseSteps() {
	for shard := range r.leases {
		r.leaseStep(shard)
	}
}

func (r *Router) writeLease(shard int, step leaser.Write) {
	if step.Record.Holder == "" {
		r.dropRights(shard)
	}
	op := objectstore.Put{Name: r.leases[shard].Name(), Value: step.Record.Encode(), IfVersion: step.IfVersion}
	r.call(leaseWriteCall{shard: shard, asked: r.now, write: step}, op)
}

func (r *Router) leaseRead(shard int, answer objectstore.Answer) {
	r.leases[shard] = r.leases[shard].WithRead(r.now, answer)
	r.noteLease(shard)
	r.leaseStep(shard)
}

func (r *Router) leaseWritten(call leaseWriteCall, answer objectstore.Answer) {
	shard := call.shard
	r.leases[shard] = r.leases[shard].WithWritten(call.asked, r.now, call.write, answer)
	if r.leases[shard].Held(r.now) {
		r.paused = false
	}
	if r.leases[shard].Held(r.now) && !r.rights.Holds(shard) && !r.draining {
		r.takeRights(shard, call.write.IfVersion == objectstore.IfAbsent)
	}
	r.noteLease(shard)
	r.leaseStep(shard)
}

func (r *Router) takeRights(shard int, first bool) {
	start := limiter.StartEmpty
	if first {
		start = limiter.StartFull
	}
	r.rights.Hold(r.now, shard, start)
	r.heldTerms[shard] = r.leases[shard].Term()
	r.loaded[shard] = false
	r.loadDivisions(shard, "")
	r.log(journal.New(journal.LeaseTaken, "").With("lease", r.leases[shard].Name()).With("term", r.heldTerms[shard]))
}

// dropLapsed drops rights whose lease has run out, unless nobody can take them
// over.
func (r *Router) dropLapsed(shard int) {
	if r.rights.Holds(shard) && !r.leases[shard].Held(r.now) && !r.outage() {
		r.dropRights(shard)
	}
}

func (r *Router) dropRights(shard int) {
	if !r.rights.Holds(shard) {
		return
	}
	r.rights.Drop(shard)
	r.log(journal.New(journal.LeaseLost, "").With("lease", r.leases[shard].Name()).With("term", r.heldTerms[shard]))
}

// noteLease remembers the holder that the lease object names.
func (r *Router) noteLease(shard int) {
	lease := r.leases[shard]
	name, _, _ := strings.Cut(lease.Holder(), "@")
	if name == "" || name == r.settings.Name {
		return
	}
	r.noteHolding(r.settings.Domain, &peerv1.Holding{Shard: int32(shard), Instance: name, Term: lease.Term()})
}

// noteHoldings keeps what is new about holders: of the peer's domain, where a
// holding names no other.
func (r *Router) noteHoldings(from tracker.Peer, holdings []*peerv1.Holding) {
	for _, holding := range holdings {
		if holding.GetShard() < 0 || holding.GetShard() >= limiter.Shards {
			continue
		}
		domain := from.Domain
		if holding.GetDomain() != "" {
			domain = holding.GetDomain()
		}
		r.noteHolding(domain, holding)
		if domain == r.settings.Domain && holding.GetInstance() == from.Name {
			r.noteClaim(int(holding.GetShard()), from.Name)
		}
	}
}

func (r *Router) noteHolding(domain string, holding *peerv1.Holding) {
	key := holdingKey{domain: domain, shard: holding.GetShard()}
	known, ok := r.holdings[key]
	if !ok && len(r.holdings) >= maxHoldings {
		return
	}
	if holding.GetTerm() >= known.GetTerm() {
		r.holdings[key] = holding
	}
}

// sortedHoldings returns the keys of the known holders, sorted.
func (r *Router) sortedHoldings() []holdingKey {
	return slices.SortedFunc(maps.Keys(r.holdings), func(a, b holdingKey) int {
		return cmp.Or(cmp.Compare(a.domain, b.domain), cmp.Compare(a.shard, b.shard))
	})
}

// ownClaims returns the shards that this instance holds.
func (r *Router) ownClaims() []*peerv1.Holding {
	var holdings []*peerv1.Holding
	for shard := range int32(limiter.Shards) {
		if r.holdsRights(int(shard)) {
			holdings = append(holdings, &peerv1.Holding{Shard: shard, Instance: r.settings.Name, Term: r.heldTerms[shard]})
		}
	}
	return holdings
}

// ownHoldings returns what is known of the holders of the own domain.
func (r *Router) ownHoldings() []*peerv1.Holding {
	holdings := r.ownClaims()
	for shard := range int32(limiter.Shards) {
		if r.holdsRights(int(shard)) {
			continue
		}
		if holding, ok := r.holdings[holdingKey{domain: r.settings.Domain, shard: shard}]; ok {
			holdings = append(holdings, holding)
		}
	}
	return holdings
}

// holdsRights reports whether the rights of the shard are held here right now,
// and their divisions are known.
func (r *Router) holdsRights(shard int) bool {
	r.dropLapsed(shard)
	return r.rights.Holds(shard) && r.loaded[shard]
}

// holderOf returns the peer that holds the shard of the domain's rights, as far
// as it is known.
func (r *Router) holderOf(domain string, shard int) (tracker.Peer, bool) {
	holding, ok := r.holdings[holdingKey{domain: domain, shard: int32(shard)}]
	if !ok {
		return tracker.Peer{}, false
	}
	return r.known.Peer(holding.GetInstance())
}
