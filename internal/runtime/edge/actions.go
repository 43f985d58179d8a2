package edge

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
)

// perform performs one action. It is called within a step and must not wait.
func (e *Edge) perform(next forwarder.Action) {
	switch next := next.(type) {
	case forwarder.Dispatch:
		e.machine.pass(next.Request, next)
	case forwarder.CancelAttempt:
		e.machine.cancelAttempt(next)
	case forwarder.Pass:
		e.machine.pass(next.Request, next)
	case forwarder.Refuse:
		e.machine.pass(next.Request, next)
	case forwarder.Break:
		e.machine.pass(next.Request, next)
	case forwarder.Drop:
		e.machine.pass(next.Request, next)
	case forwarder.SetLimits:
		e.front.SetLimits(next.Limits)
	case forwarder.Log:
		e.log(next.Entry)
	case forwarder.Measure:
		e.meter.Observe(string(next.What), next.Span)
	case forwarder.Tell:
		e.tell(next)
	case forwarder.Check:
		e.run(func() { e.check(next) })
	case forwarder.ReadCache:
		e.run(func() { e.machine.submit(e.platform.ReadCache(e.ctx, next.Read)) })
	case forwarder.AskStore:
		e.run(func() { e.askStore(next.Step) })
	case forwarder.AskEngine:
		e.run(func() { e.askEngine(next.Step) })
	}
}

func (e *Edge) check(check forwarder.Check) {
	healthy, gone := e.platform.CheckHealth(e.ctx, check)
	e.machine.submit(forwarder.ServerChecked{Server: check.Server, Healthy: healthy, Refused: gone})
}

func (e *Edge) askStore(step orderer.Step) {
	switch step := step.(type) {
	case orderer.ReadLease:
		answer := e.platform.Call(e.ctx, objectstore.Get{Name: orderer.LeaseName})
		e.machine.submit(forwarder.LeaseRead{Answer: answer})
	case orderer.WriteLease:
		update := step.Update
		answer := e.platform.Call(e.ctx, objectstore.Put{Name: orderer.LeaseName, Value: update.Record.Encode(), IfVersion: update.IfRevision})
		e.machine.submit(forwarder.LeaseWritten{Record: update.Record, Answer: answer})
	}
}

func (e *Edge) askEngine(step orderer.Step) {
	switch step := step.(type) {
	case orderer.RequestReport:
		e.machine.submit(forwarder.ServerReported{Server: step.Server, Report: e.platform.FetchReport(e.ctx, step)})
	case orderer.Order:
		// The process may have been suspended since the order was decided.
		allowed := func() bool { return bootclock.Now() < step.Deadline }
		e.machine.submit(forwarder.OrderReplied{Server: step.Server, Reply: e.platform.SendOrder(e.ctx, step, allowed)})
	}
}

// tell sends a digest to peers. A lost datagram is made up for by the next one.
func (e *Edge) tell(told forwarder.Tell) {
	datagram, err := told.Digest.Encode()
	if err != nil {
		e.log(journal.New(journal.PeerMessageInvalid, "").With("error", err))
		return
	}
	for _, address := range told.To {
		to, err := resolve(address)
		if err != nil {
			e.log(journal.New(journal.PeerMessageInvalid, "").With("address", address).With("error", err))
			continue
		}
		if _, err := e.socket.WriteTo(datagram, to); err != nil {
			e.meter.Add("datagramsUnsent", 1)
		}
	}
}
