package edge

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
)

// perform performs one action. It is called with the state machine locked and must
// not block.
func (e *Edge) perform(action forwarder.Action) {
	switch action := action.(type) {
	case forwarder.Dispatch:
		e.machine.deliver(action.Request, action)
	case forwarder.CancelAttempt:
		e.machine.cancelAttempt(action)
	case forwarder.Pass:
		e.machine.deliver(action.Request, action)
	case forwarder.Refuse:
		e.machine.deliver(action.Request, action)
	case forwarder.Break:
		e.machine.deliver(action.Request, action)
	case forwarder.Drop:
		e.machine.deliver(action.Request, action)
	case forwarder.SetLimits:
		e.front.SetLimits(action.Limits)
	case forwarder.Log:
		e.log(action.Entry)
	case forwarder.Measure:
		e.meter.Observe(string(action.What), action.Span)
	case forwarder.Tell:
		e.sendDigest(action)
	case forwarder.Check:
		e.start(func() { e.checkHealth(action) })
	case forwarder.ReadCache:
		e.start(func() { e.machine.submit(e.platform.ReadCache(e.ctx, action.Read)) })
	case forwarder.AskStore:
		e.start(func() { e.callStore(action.Step) })
	case forwarder.AskEngine:
		e.start(func() { e.callEngine(action.Step) })
	}
}

func (e *Edge) checkHealth(check forwarder.Check) {
	healthy, gone := e.platform.CheckHealth(e.ctx, check)
	e.machine.submit(forwarder.ServerChecked{Server: check.Server, Healthy: healthy, Refused: gone})
}

func (e *Edge) callStore(step orderer.Step) {
	switch step := step.(type) {
	case orderer.ReadLease:
		response := e.platform.Call(e.ctx, objectstore.Get{Name: orderer.LeaseName})
		e.machine.submit(forwarder.LeaseRead{Answer: response})
	case orderer.WriteLease:
		update := step.Update
		response := e.platform.Call(e.ctx, objectstore.Put{Name: orderer.LeaseName, Value: update.Record.Encode(), IfVersion: update.IfRevision})
		e.machine.submit(forwarder.LeaseWritten{Record: update.Record, Answer: response})
	}
}

func (e *Edge) callEngine(step orderer.Step) {
	switch step := step.(type) {
	case orderer.RequestReport:
		e.machine.submit(forwarder.ServerReported{Server: step.Server, Report: e.platform.FetchReport(e.ctx, step)})
	case orderer.Order:
		// The process may have been suspended since the order was decided, so the
		// deadline is checked again immediately before sending.
		allowed := func() bool { return bootclock.Now() < step.Deadline }
		e.machine.submit(forwarder.OrderReplied{Server: step.Server, Reply: e.platform.SendOrder(e.ctx, step, allowed)})
	}
}

// sendDigest sends a digest to peers. Datagrams are not resent: the next digest
// replaces a lost one.
func (e *Edge) sendDigest(send forwarder.Tell) {
	datagram, err := send.Digest.Encode()
	if err != nil {
		e.log(journal.New(journal.PeerMessageInvalid, "").With("error", err))
		return
	}
	for _, peer := range send.To {
		address, err := parsePeerAddress(peer)
		if err != nil {
			e.log(journal.New(journal.PeerMessageInvalid, "").With("address", peer).With("error", err))
			continue
		}
		if _, err := e.peerSocket.WriteTo(datagram, address); err != nil {
			e.meter.Add("datagramsUnsent", 1)
		}
	}
}
