package edge

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
)

const (
	// maxDatagramBytes is the size of the receive buffer: no UDP datagram is longer.
	maxDatagramBytes = 64 << 10
	// joinInterval is the time between the first two attempts to register and to find
	// peers.
	joinInterval = 500 * time.Millisecond
	// maxJoinInterval limits that time, which grows with each attempt.
	maxJoinInterval = 5 * time.Second
	// cleanupInterval is the time between two searches for peers that no longer respond.
	cleanupInterval = 10 * time.Second
)

// parsePeerAddress parses a peer's IP address and port. It resolves no host names.
func parsePeerAddress(address string) (*net.UDPAddr, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "edge: peer address")
	}
	return net.UDPAddrFromAddrPort(parsed), nil
}

// syncPeers registers the instance, and lists its peers until it has a copy of their
// entries, which then reports changes. It registers again if its entry is removed by
// mistake, and removes the entries of peers that no longer respond.
func (e *Edge) syncPeers() {
	interval := joinInterval
	lastCleanup := time.Now()
	for e.ctx.Err() == nil {
		entry, known := e.machine.ownEntry()
		if !known {
			members, err := e.platform.Peers(e.ctx)
			if err != nil {
				e.logPeersFailed("list", err)
			} else {
				entry = members[e.settings.Name]
				// The list may be older than a copy that has been read meanwhile.
				if _, copied := e.machine.ownEntry(); !copied {
					e.machine.submit(forwarder.PeersListed{Members: members})
				}
			}
		}
		if self := e.self(); entry != self {
			if err := e.platform.Register(e.ctx, e.settings.Name, self); err != nil {
				e.logPeersFailed("join", err)
			}
		}
		if time.Since(lastCleanup) > cleanupInterval {
			lastCleanup = time.Now()
			e.removeUnresponsivePeers()
		}
		// Many instances may miss their entries at the same time.
		e.sleep(interval - rand.N(interval/4))
		interval = min(2*interval, maxJoinInterval)
	}
}

// self returns the instance's own entry.
func (e *Edge) self() forwarder.Member {
	return forwarder.Member{Address: e.settings.PeerAddress, Domain: e.settings.Domain, Capacity: e.settings.Capacity}
}

func (e *Edge) removeUnresponsivePeers() {
	for _, name := range e.machine.unresponsivePeers() {
		if err := e.platform.RemovePeer(e.ctx, name); err != nil {
			// Another instance may have removed the peer already.
			e.logPeersFailed("remove", err)
			continue
		}
		e.log(eventlog.New(eventlog.PeerRemoved, "").With("peer", name))
	}
}

func (e *Edge) logPeersFailed(call string, err error) {
	e.log(eventlog.New(eventlog.PeersFailed, "").With("call", call).With("error", err))
}

func (e *Edge) sleep(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-e.ctx.Done():
	case <-timer.C:
	}
}

func (e *Edge) receiveDigests() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, _, err := e.peerSocket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer's port was closed when an earlier datagram arrived (ICMP port
			// unreachable); the socket remains usable.
			continue
		}
		e.handleDatagram(buffer[:length])
	}
}

// handleDatagram handles one datagram, which must not end the process, whatever it contains.
func (e *Edge) handleDatagram(received []byte) {
	defer e.recoverPanic("datagram")
	event, err := decodeDatagram(received)
	if err != nil {
		e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
		return
	}
	e.machine.submit(event)
}

// decodeDatagram decodes a digest or a message of a keeper of engines or of origins.
func decodeDatagram(received []byte) (forwarder.Event, error) {
	if datagram.IsOriginMessage(received) {
		message, err := datagram.DecodeOriginMessage(received)
		return forwarder.OriginMessageReceived{Message: message}, err
	}
	if datagram.IsKeeperMessage(received) {
		message, err := datagram.DecodeKeeperMessage(received)
		return forwarder.KeeperMessageReceived{Message: message}, err
	}
	message, err := datagram.DecodeDigest(received)
	return forwarder.DigestReceived{Digest: message}, err
}
