package edge

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
)

const (
	// maxDatagramBytes is the size of the receive buffer: no UDP datagram is longer.
	maxDatagramBytes = 64 << 10
	// joinRetryInterval is the delay before a failed registration is retried.
	joinRetryInterval = 500 * time.Millisecond
	// initialListInterval is the time between two reads of the list of peers after the
	// start, when other instances may be starting as well; listInterval is the time later.
	initialListInterval = time.Second
	listInterval        = 10 * time.Second
	// initialLists is the number of reads before listInterval applies.
	initialLists = 3
)

// parsePeerAddress parses a peer's IP address and port. It resolves no host names.
func parsePeerAddress(address string) (*net.UDPAddr, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "edge: peer address")
	}
	return net.UDPAddrFromAddrPort(parsed), nil
}

// syncPeers registers the instance and reads the list of its peers repeatedly. It
// removes peers that no longer respond.
func (e *Edge) syncPeers() {
	joined := false
	reads := 0
	for e.ctx.Err() == nil {
		interval := listInterval
		if !joined {
			if err := e.platform.Register(e.ctx, e.settings.Name, e.settings.PeerAddress); err != nil {
				e.logPeersFailed("join", err)
				e.sleep(joinRetryInterval)
				continue
			}
			joined = true
		}
		addresses, err := e.platform.Peers(e.ctx)
		if err != nil {
			e.logPeersFailed("list", err)
		} else {
			reads++
			e.machine.submit(forwarder.PeersListed{Addresses: addresses})
			// Registers again if another instance has removed this one by mistake. The
			// first list may be older than the registration.
			joined = addresses[e.settings.Name] == e.settings.PeerAddress || reads == 1
			e.removeUnresponsivePeers()
		}
		if reads < initialLists {
			interval = initialListInterval
		}
		e.sleep(interval)
	}
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
		received, err := digest.Decode(buffer[:length])
		if err != nil {
			e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
			continue
		}
		e.machine.submit(forwarder.DigestReceived{Digest: received})
	}
}
