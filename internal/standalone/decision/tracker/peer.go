package tracker

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Peer is another instance of the fleet. Values are immutable.
type Peer struct {
	Name        string
	Domain      string
	Address     string
	Incarnation string
	Leaving     bool
	// PlatformDown tells that the peer can't reach the platform.
	PlatformDown bool
	// ConfigRevision is the configuration that the peer has in force.
	ConfigRevision int64
	// Sequence counts its heartbeats since its start.
	Sequence int64
	// LastSeen is when its last heartbeat came; 0 when none has come.
	LastSeen clock.Millis
	// Listed tells whether the instance list has the peer as live.
	Listed bool
}

// peerTimeout is how long a peer counts as alive after its last heartbeat.
const peerTimeout = 5 * clock.Second

// Alive reports whether a heartbeat came lately.
func (p Peer) Alive(now clock.Millis) bool {
	return p.LastSeen != 0 && now.Since(p.LastSeen) < peerTimeout
}

// Identity returns the name of one start of the peer.
func (p Peer) Identity() string {
	return Identity(p.Name, p.Incarnation)
}

// Identity returns the name of one start of the named instance.
func Identity(name, incarnation string) string {
	return name + "#" + incarnation
}
