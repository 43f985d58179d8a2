package router

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/limiter"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Status is what one instance knows, for operators.
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

// PeerStatus is another instance.
type PeerStatus struct {
	Instance string `json:"instance"`
	Domain   string `json:"domain"`
	Alive    bool   `json:"alive"`
	Leaving  bool   `json:"leaving"`
	Revision int64  `json:"revision"`
}

// ServerStatus is a backend server.
type ServerStatus struct {
	Server   string `json:"server"`
	Role     string `json:"role"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Suspect  bool   `json:"suspect"`
	InFlight int    `json:"inFlight"`
}

// LeaseStatus is one shard of the domain's rights. Until is the time that the
// holding has left, in milliseconds, when it is held here.
type LeaseStatus struct {
	Lease  string       `json:"lease"`
	Holder string       `json:"holder"`
	Term   int64        `json:"term"`
	Until  clock.Millis `json:"untilMillis"`
	// Grants tells that this instance grants tokens of the shard now.
	Grants bool `json:"grants"`
}

// TeamStatus is a team's limit and what of it is held here, in tokens.
type TeamStatus struct {
	Team    string `json:"team"`
	Rate    int64  `json:"rate"`
	Burst   int64  `json:"burst"`
	Balance int64  `json:"balance"`
	Held    bool   `json:"held"`
}

// Status returns what the instance knows at now.
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
	for _, peer := range r.known.Peers() {
		status = append(status, PeerStatus{Instance: peer.Name, Domain: peer.Domain, Alive: peer.Alive(r.now), Leaving: peer.Leaving, Revision: peer.Revision})
	}
	return status
}

func (r *Router) serverStatus() []ServerStatus {
	status := []ServerStatus{}
	for _, server := range r.known.Servers() {
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
		grants := r.rights.Holds(shard) && r.loaded[shard] && (lease.Held(r.now) || r.outage())
		status = append(status, LeaseStatus{Grants: grants, Lease: lease.Name(), Holder: lease.Holder(), Term: lease.Term(), Until: max(0, lease.HeldUntil().Since(r.now))})
	}
	return status
}

func (r *Router) teamStatus() []TeamStatus {
	status := []TeamStatus{}
	for _, name := range slices.Sorted(maps.Keys(r.configuration.Teams)) {
		team := r.configuration.Teams[name]
		balance, _ := r.rights.Balance(r.now, name)
		status = append(status, TeamStatus{Team: name, Rate: team.Rate, Burst: team.Burst, Balance: balance, Held: r.rights.Holds(limiter.ShardOf(name))})
	}
	return status
}
