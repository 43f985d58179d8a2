package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func (w *world) askStore(i int, step orderer.Step) {
	if w.deaf[i] {
		w.after(900, func() {
			if update, ok := step.(orderer.WriteLease); ok {
				w.step(i, forwarder.LeaseWritten{Record: update.Update.Record, Answer: objectstore.Response{Outcome: objectstore.Unknown}})
			} else {
				w.step(i, forwarder.LeaseRead{Answer: objectstore.Response{Outcome: objectstore.Unknown}})
			}
		})
		return
	}
	w.after(5, func() {
		switch step := step.(type) {
		case orderer.ReadLease:
			answer := objectstore.Response{Outcome: objectstore.Done, Version: w.revision, Value: w.record.Encode()}
			if w.revision == 0 {
				answer = objectstore.Response{Outcome: objectstore.NotFound}
			}
			w.step(i, forwarder.LeaseRead{Answer: answer})
		case orderer.WriteLease:
			answer := objectstore.Response{Outcome: objectstore.Conflict, Version: w.revision, Value: w.record.Encode()}
			if step.Update.IfRevision == w.revision {
				w.revision++
				w.record = step.Update.Record
				answer = objectstore.Response{Outcome: objectstore.Done, Version: w.revision}
			}
			w.step(i, forwarder.LeaseWritten{Record: step.Update.Record, Answer: answer})
		}
	})
}

func (w *world) askEngine(i int, step orderer.Step) {
	w.after(3, func() {
		switch step := step.(type) {
		case orderer.AskReport:
			s := w.servers[step.Server]
			w.step(i, forwarder.ServerReported{Server: step.Server, Report: orderer.Report{Failed: s.gone, Weights: s.entry.Weights, Accepted: s.accepted, Born: s.entry.Born}})
		case orderer.Order:
			if w.cacheSource.IntN(100) < w.lateOrders {
				w.after(clock.Millis(2000+w.cacheSource.IntN(6000)), func() { w.carryOut(step) })
				w.after(200, func() { w.step(i, forwarder.OrderReplied{Server: step.Server, Reply: orderer.Unheard}) })
				return
			}
			reply := orderer.Refused
			if w.now < step.Until {
				reply = w.carryOut(step)
			}
			w.step(i, forwarder.OrderReplied{Server: step.Server, Reply: reply})
		}
	})
}

// carryOut is an engine that takes an order, unless it has accepted another one since.
func (w *world) carryOut(order orderer.Order) orderer.Reply {
	s := w.servers[order.Server]
	if order.Accepted != s.accepted || s.gone {
		return orderer.Refused
	}
	s.accepted++
	w.after(w.loadSpan, func() { s.entry = s.entry.WithWeights(order.Model, order.Version) })
	return orderer.Accepted
}

// name names new weights; instances without the store hear of them from peers.
func (w *world) name() {
	w.named++
	w.namedAt[w.named] = w.now
	for i := range w.nodes {
		if !w.deaf[i] {
			w.step(i, forwarder.WeightsNamed{Model: model, Version: w.named, Fresh: true})
		}
	}
}
