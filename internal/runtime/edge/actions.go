package edge

import (
	"context"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/cachetracker"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/datagram"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
)

// perform performs one action. It is called with the state machine locked and must
// not block.
func (e *Edge) perform(action forwarder.Action) {
	switch action := action.(type) {
	case forwarder.Dispatch:
		if action.Alternative {
			e.machine.startAlternative(action)
			return
		}
		e.machine.deliver(action.Request, action)
	case forwarder.CancelAttempt:
		e.machine.cancelAttempt(action)
	case forwarder.ForwardResponse:
		e.machine.deliver(action.Request, action)
	case forwarder.Refuse:
		e.machine.deliver(action.Request, action)
	case forwarder.AbortStream:
		e.machine.deliver(action.Request, action)
	case forwarder.DropRequest:
		e.machine.deliver(action.Request, action)
	case forwarder.SetLimits:
		e.httpServer.SetLimits(action.Limits)
	case forwarder.Log:
		e.log(action.Entry)
	case forwarder.ObserveDuration:
		e.meter.Observe(string(action.Histogram), action.Duration)
	case forwarder.SendDigest:
		e.sendDigest(action)
	case forwarder.SendToKeeper:
		e.sendToKeeper(action)
	case forwarder.SendOrigin:
		e.sendOriginMessage(action)
	case forwarder.WatchStore:
		e.watchStore(action)
	case forwarder.FetchReplicas:
		e.start(func() { e.fetchReplicas(action.Address) })
	case forwarder.CheckHealth:
		e.start(func() { e.checkHealth(action) })
	case forwarder.ProbePath:
		e.start(func() { e.probePath(action) })
	case forwarder.OpenTunnel:
		e.machine.deliver(action.Tunnel, action)
	case forwarder.RefuseTunnel:
		e.machine.deliver(action.Tunnel, action)
	case forwarder.ReadCache:
		e.start(func() { e.readCache(action.Read) })
	case forwarder.ReadAssignment:
		e.start(func() {
			e.machine.submit(forwarder.AssignmentRead{Service: action.Service, Response: e.platform.ReadAssignment(e.ctx, action.Service)})
		})
	case forwarder.WriteAssignment:
		e.start(func() {
			response := e.platform.WriteAssignment(e.ctx, action)
			e.machine.submit(forwarder.AssignmentWritten{Service: action.Service, Record: action.Record, Response: response})
		})
	case forwarder.CallStore:
		e.start(func() { e.callStore(action.Step) })
	case forwarder.WriteVerdict:
		e.start(func() { e.writeVerdict(action) })
	case forwarder.CallEngine:
		e.start(func() { e.callEngine(action.Step) })
	}
}

// notify returns the function that submits what a server says of itself.
func (e *Edge) notify(server string, startedAt int64) Notify {
	return func(notice forwarder.ServerNotice) {
		if notice == (forwarder.ServerNotice{}) {
			return
		}
		notice.Server, notice.StartedAt = server, startedAt
		e.machine.submit(notice)
	}
}

// callContext returns the context for a call to a server, of which the response is limited by an account.
func (e *Edge) callContext(server string) (ctx context.Context, release func()) {
	account := e.responses.Account(server)
	return httpclient.WithAccount(e.ctx, account), account.Release
}

func (e *Edge) readCache(read cachetracker.ReadRequest) {
	ctx, release := e.callContext(read.Server)
	defer release()
	e.machine.submit(e.platform.ReadCache(ctx, read, e.notify(read.Server, read.StartedAt)))
}

func (e *Edge) checkHealth(check forwarder.CheckHealth) {
	ctx, release := e.callContext(check.Server)
	defer release()
	checked := e.platform.CheckHealth(ctx, check, e.notify(check.Server, check.StartedAt))
	checked.BeganAt = check.BeganAt
	e.machine.submit(checked)
}

func (e *Edge) callStore(step rollout.Step) {
	switch step := step.(type) {
	case rollout.ReadLease:
		response := e.platform.Call(e.ctx, objectstore.Get{Name: rollout.LeaseName})
		e.machine.submit(forwarder.LeaseRead{Response: response})
	case rollout.WriteLease:
		update := step.Update
		response := e.platform.Call(e.ctx, objectstore.Put{Name: rollout.LeaseName, Value: update.Record.Encode(), IfVersion: update.IfRevision})
		e.machine.submit(forwarder.LeaseWritten{Record: update.Record, Response: response})
	}
}

func (e *Edge) writeVerdict(write forwarder.WriteVerdict) {
	response := objectstore.Response{Outcome: objectstore.Refused}
	if bootclock.Now() < write.Deadline {
		response = e.platform.WriteVerdict(e.ctx, write)
	}
	e.machine.submit(forwarder.VerdictWritten{Service: write.Service, Revision: write.IfRevision, Verdict: write.Verdict, Response: response})
}

func (e *Edge) callEngine(step rollout.Step) {
	switch step := step.(type) {
	case rollout.RequestReport:
		ctx, release := e.callContext(step.Server)
		defer release()
		report := e.platform.FetchReport(ctx, step, e.notify(step.Server, step.StartedAt))
		e.machine.submit(forwarder.EngineReported{Server: step.Server, Report: report})
	case rollout.Order:
		// The process may have been suspended since the order was decided, so the
		// deadline is checked again immediately before sending.
		ctx, release := e.callContext(step.Server)
		defer release()
		reply := e.platform.SendOrder(ctx, step, before(step.Deadline), e.notify(step.Server, step.StartedAt))
		e.machine.submit(forwarder.OrderReplied{Server: step.Server, Reply: reply})
	}
}

// sendDigest sends a digest to neighbors. Datagrams are not resent: the next digest
// replaces a lost one.
func (e *Edge) sendDigest(send forwarder.SendDigest) {
	encoded, err := datagram.EncodeDigest(send.Digest)
	if err != nil {
		e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
		return
	}
	for _, recipient := range send.Recipients {
		withEcho, err := datagram.AppendEcho(encoded, recipient.Echo)
		if err != nil {
			e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
			continue
		}
		e.sendDatagram(withEcho, recipient.Address)
	}
}

// sendToKeeper sends a message to or from a keeper. It is not resent either.
func (e *Edge) sendToKeeper(send forwarder.SendToKeeper) {
	encoded, err := datagram.EncodeKeeperMessage(send.Message)
	if err != nil {
		e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
		return
	}
	e.sendDatagram(encoded, send.Address)
}

// sendOriginMessage sends a message about the origin of a stream. The state machine repeats
// what has no reply.
func (e *Edge) sendOriginMessage(send forwarder.SendOrigin) {
	encoded, err := datagram.EncodeOriginMessage(send.Message)
	if err != nil {
		e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("error", err))
		return
	}
	e.sendDatagram(encoded, send.Address)
}

func (e *Edge) sendDatagram(encoded []byte, peer string) {
	address, err := parsePeerAddress(peer)
	if err != nil {
		e.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("address", peer).With("error", err))
		return
	}
	if _, err := e.peerSocket.WriteTo(encoded, address); err != nil {
		e.meter.Add("datagramsUnsent", 1)
	}
}
