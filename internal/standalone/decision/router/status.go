package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Status is the state of one instance as shown to operators.
type Status struct {
	Instance       string         `json:"instance"`
	Domain         string         `json:"domain"`
	Revision       int64          `json:"revision"`
	ConfigRevision int64          `json:"configRevision"`
	Ready          bool           `json:"ready"`
	PlatformDown   bool           `json:"platformDown"`
	Draining       bool           `json:"draining"`
	InFlight       int            `json:"inFlight"`
	Settling       int            `json:"settling"`
	Peers          []PeerStatus   `json:"peers"`
	Servers        []ServerStatus `json:"servers"`
	Leases         []LeaseStatus  `json:"leases"`
	Teams          []TeamStatus   `json:"teams"`
}

// PeerStatus is the state of another instance.
type PeerStatus struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Alive    bool   `json:"alive"`
	Leaving  bool   `json:"leaving"`
	Revision int64  `json:"revision"`
}

// ServerStatus is the state of a backend server.
type ServerStatus struct {
	Server   string `json:"server"`
	Role     string `json:"role"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Suspect  bool   `json:"suspect"`
	InFlight int    `json:"inFlight"`
}

// LeaseStatus is the lease of one shard of the domain's quota. Remaining is the
// remaining time of the lease if this instance holds it, else 0.
type LeaseStatus struct {
	Lease     string       `json:"lease"`
	Holder    string       `json:"holder"`
	Term      int64        `json:"term"`
	Remaining clock.Millis `json:"untilMillis"`
	// Grants reports whether this instance grants tokens of the shard now.
	Grants bool `json:"grants"`
}

// TeamStatus is a team's limit and its local balance, in tokens. Held reports
// whether this instance holds the team's shard.
type TeamStatus struct {
	Team    string `json:"team"`
	Rate    int64  `json:"rate"`
	Burst   int64  `json:"burst"`
	Balance int64  `json:"balance"`
	Held    bool   `json:"held"`
}

// Status returns the state of the instance at now.
func (r *Router) Status(now clock.Millis) Status {
	r.now = max(now, r.now)
	return Status{
		Instance:       r.settings.Name,
		Domain:         r.settings.Domain,
		Revision:       r.manifest.Revision,
		ConfigRevision: r.manifest.ConfigRevision,
		Ready:          r.Ready(),
		PlatformDown:   r.platformDown,
		Draining:       r.draining,
		InFlight:       len(r.flights),
		Settling:       len(r.settling),
		Peers:          r.peerStatus(),
		Servers:        r.serverStatus(),
		Leases:         r.leaseStatus(),
		Teams:          r.teamStatus(),
	}
}

func (r *Router) peerStatus() []PeerStatus {
	status := []PeerStatus{}
	for _, peer := range r.view.Peers() {
		status = append(status, PeerStatus{Instance: peer.Name, Domain: peer.Domain, Alive: peer.Alive(r.now), Leaving: peer.Leaving, Revision: peer.ConfigRevision})
	}
	return status
}

func (r *Router) serverStatus() []ServerStatus {
	status := []ServerStatus{}
	for _, server := range r.view.Servers() {
		status = append(status, ServerStatus{
			Server:   server.Name,
			Role:     string(server.Role),
			Domain:   server.Domain,
			State:    string(server.State),
			Suspect:  server.Suspect(r.now),
			InFlight: server.InFlight,
		})
	}
	return status
}

func (r *Router) leaseStatus() []LeaseStatus {
	status := []LeaseStatus{}
	for shard, lease := range r.leases {
		grants := r.limiter.HasShard(shard) && r.divisionsLoaded[shard] && (lease.Held(r.now) || r.inOutage())
		status = append(status, LeaseStatus{Grants: grants, Lease: lease.Name(), Holder: lease.Holder(), Term: lease.Term(), Remaining: max(0, lease.HeldUntil().Since(r.now))})
	}
	return status
}

func (r *Router) teamStatus() []TeamStatus {
	status := []TeamStatus{}
	for _, name := range slices.Sorted(maps.Keys(r.configuration.Teams)) {
		team := r.configuration.Teams[name]
		balance, _ := r.limiter.Balance(r.now, name)
		status = append(status, TeamStatus{Team: name, Rate: team.Rate, Burst: team.Burst, Balance: balance, Held: r.limiter.HasShard(limiter.ShardOf(name))})
	}
	return status
}
