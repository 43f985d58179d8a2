package forwarder

import (
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxTunnels limits the connections that this instance keeps open for others.
	maxTunnels = 150
	// maxTunnelTime limits the time for which one of them is open, where it is not stated.
	maxTunnelTime = defaultTimeout
	// tunnelGrace is added to the stated time: the instance that asked ends the request itself.
	tunnelGrace = clock.Second
	// controlTimeout is the time after which the outcome of connects to other servers is not
	// awaited any more.
	controlTimeout = 300 * clock.Millisecond
)

// tunnel is a connection to a server that this instance keeps open for another one.
type tunnel struct {
	server string
	// beganAt is the beginning of its connect; connected reports whether that has ended.
	beganAt   clock.Millis
	connected bool
	// failure is the outcome of a connect that has failed, while it is not known whether this
	// instance reaches other servers; None before. At deadline, that is not awaited any more.
	failure  tunnelverdict.Verdict
	deadline clock.Millis
}

// handleTunnelRequested opens a connection to a server for another instance, or refuses to. The
// other one decides about the request itself: key, limits, retries. What binds each instance that
// sends to the server binds this one too.
func (f *Forwarder) handleTunnelRequested(request TunnelRequested) {
	verdict := f.admitTunnel(request)
	if verdict != tunnelverdict.None {
		f.log(eventlog.New(eventlog.TunnelRefused, "").With("server", request.Server).With("from", request.From).With("verdict", verdict))
		f.emitRefusal(request.Tunnel, verdict)
		return
	}
	server, _ := f.servers.Server(request.Server)
	if !request.Probe && !request.Limited {
		f.takeLimit(server)
	}
	timeout := maxTunnelTime
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout+tunnelGrace)
	}
	f.tunnels[request.Tunnel] = tunnel{server: request.Server, beganAt: f.now}
	f.emit(OpenTunnel{Tunnel: request.Tunnel, Server: server.ID, StartedAt: server.StartedAt, Address: server.Address, Timeout: timeout, SendBefore: f.now.Add(sendWindow + tunnelSendMargin), Limited: f.limits.Limited(startOf(server)), Brittle: f.isBrittle(server), Probe: request.Probe})
}

// emitRefusal refuses a tunnel. An instance that is cut off names the one that it uses itself.
func (f *Forwarder) emitRefusal(id string, verdict tunnelverdict.Verdict) {
	refusal := RefuseTunnel{Tunnel: id, Verdict: verdict}
	if verdict == tunnelverdict.CutOff {
		refusal.Referral = f.paths.GoodHop(f.now, f.random())
	}
	f.emit(refusal)
}

// admitTunnel returns why a tunnel is refused; None if it is not.
func (f *Forwarder) admitTunnel(request TunnelRequested) tunnelverdict.Verdict {
	server, known := f.servers.Server(request.Server)
	switch {
	case f.draining:
		return tunnelverdict.Stopping
	case !f.lists(request.From):
		return tunnelverdict.Forbidden
	case len(f.tunnels) >= maxTunnels || len(f.flights)+len(f.tunnels) >= maxInFlight:
		return tunnelverdict.Full
	case !known || server.StartedAt != request.StartedAt:
		return tunnelverdict.Unknown
	case f.paths.CutOff():
		return tunnelverdict.CutOff
	case f.paths.Blocked(request.Server):
		return tunnelverdict.NoPath
	case f.holdsBack(server) || f.leavesTooSoon(server):
		return tunnelverdict.HeldBack
	}
	if wait, holds := f.limitWait(server); !request.Limited && !request.Probe && (wait > 0 || !holds) {
		return tunnelverdict.HeldBack
	}
	return tunnelverdict.None
}

// leavesTooSoon reports whether a server that leaves must not get new requests.
func (f *Forwarder) leavesTooSoon(server registry.Server) bool {
	return server.Draining || (server.LeavingSince() != 0 && f.now.Since(server.LeavingSince()) >= f.settings.Bounds.ServerDrain/leavingDivisor)
}

// lists reports whether an instance with the IP address is listed.
func (f *Forwarder) lists(ip string) bool {
	for _, known := range f.peers {
		if host(known.Address) == ip {
			return true
		}
	}
	return false
}

// handleTunnelConnected records the outcome of a tunnel's connect.
func (f *Forwarder) handleTunnelConnected(connected TunnelConnected) {
	opened, ok := f.tunnels[connected.Tunnel]
	if !ok || opened.connected {
		return
	}
	opened.connected = connected.Verdict == tunnelverdict.Reached
	f.recordConnect(opened.server, opened.beganAt, opened.connected)
	if !opened.connected {
		f.probeControl(opened.server)
		opened.failure, opened.deadline = connected.Verdict, f.now.Add(controlTimeout)
	}
	f.tunnels[connected.Tunnel] = opened
}

// refuseFailedTunnels refuses the tunnels whose connects have failed, as soon as it is known
// whether this instance reaches other servers: only then has it observed the server.
func (f *Forwarder) refuseFailedTunnels() {
	if len(f.tunnels) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(f.tunnels)) {
		failed := f.tunnels[id]
		verdict := failed.failure
		switch {
		case verdict == tunnelverdict.None:
			continue
		case f.paths.ReachedSince(failed.beganAt):
		case f.paths.CutOff():
			verdict = tunnelverdict.CutOff
		case f.now >= failed.deadline || len(f.controls) == 0:
			verdict = tunnelverdict.NoPath
		default:
			continue
		}
		delete(f.tunnels, id)
		f.emitRefusal(id, verdict)
	}
}

// host returns an address without its port.
func host(address string) string {
	name, _, _ := strings.Cut(address, ":")
	return name
}
