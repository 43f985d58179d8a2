package tracker

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// Peer is another instance of the cluster. Values are immutable.
type Peer struct {
	Name        string
	Domain      string
	Address     string
	Incarnation string
	Leaving     bool
	// PlatformDown reports that the peer can't reach the platform.
	PlatformDown bool
	// ConfigRevision is the configuration revision that the peer has in force.
	ConfigRevision int64
	// Sequence numbers the heartbeats since the peer's start.
	Sequence int64
	// LastSeen is the time of the last received heartbeat; 0 when there was none.
	LastSeen clock.Millis
	// Listed reports whether the instance list has the peer, in a state other than gone.
	Listed bool
}

// peerTimeout is the time after its last heartbeat at which a peer counts as down.
const peerTimeout = 5 * clock.Second

// Alive reports whether a heartbeat was received within peerTimeout.
func (p Peer) Alive(now clock.Millis) bool {
	return p.LastSeen != 0 && now.Since(p.LastSeen) < peerTimeout
}

// Identity returns the peer's name with its incarnation.
func (p Peer) Identity() string {
	return Identity(p.Name, p.Incarnation)
}

// Identity returns an instance's name with its incarnation.
func Identity(name, incarnation string) string {
	return name + "#" + incarnation
}
