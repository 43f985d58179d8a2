package edge

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
)

const (
	// maxDatagram is the longest datagram in bytes.
	maxDatagram = 64 << 10
	// joinRetry is the time from a failed call to the next while the instance joins.
	joinRetry = 500 * time.Millisecond
	// listPeersSoon and listPeersEvery are the times between two reads of the peers:
	// soon after the start, when others start as well, and later.
	listPeersSoon  = time.Second
	listPeersEvery = 10 * time.Second
	// soonReads is how many reads are made soon.
	soonReads = 3
)

func resolve(address string) (*net.UDPAddr, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "edge: peer")
	}
	return net.UDPAddrFromAddrPort(parsed), nil
}

// joinPeers makes the instance known and reads who the others are.
func (e *Edge) joinPeers() {
	joined := false
	reads := 0
	for e.ctx.Err() == nil {
		pause := listPeersEvery
		if !joined {
			if err := e.platform.Join(e.ctx, e.place.Name, e.place.Peers); err != nil {
				e.peersFailed("join", err)
				e.pause(joinRetry)
				continue
			}
			joined = true
		}
		addresses, err := e.platform.Peers(e.ctx)
		if err != nil {
			e.peersFailed("list", err)
		} else {
			reads++
			e.machine.submit(forwarder.PeersListed{Addresses: addresses})
			// An entry that another instance removed by mistake is written again.
			joined = addresses[e.place.Name] == e.place.Peers || reads == 1
			e.removeSilent()
		}
		if reads < soonReads {
			pause = listPeersSoon
		}
		e.pause(pause)
	}
}

func (e *Edge) removeSilent() {
	for _, name := range e.machine.silentPeers() {
		if err := e.platform.Leave(e.ctx, name); err != nil {
			// Another instance may have removed it first.
			e.peersFailed("remove", err)
			continue
		}
		e.log(journal.New(journal.PeerRemoved, "").With("peer", name))
	}
}

func (e *Edge) peersFailed(call string, err error) {
	e.log(journal.New(journal.PeersFailed, "").With("call", call).With("error", err))
}

func (e *Edge) pause(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-e.ctx.Done():
	case <-timer.C:
	}
}

func (e *Edge) hearPeers() {
	buffer := make([]byte, maxDatagram)
	for {
		length, _, err := e.socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// An earlier datagram met a closed port; the socket goes on.
			continue
		}
		state, err := digest.Decode(buffer[:length])
		if err != nil {
			e.log(journal.New(journal.PeerMessageInvalid, "").With("error", err))
			continue
		}
		e.machine.submit(forwarder.PeerHeard{Digest: state})
	}
}
