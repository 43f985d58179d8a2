package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/orderer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

func (w *cluster) callStore(i int, step orderer.Step) {
	if w.storeCutOff[i] {
		w.after(900, func() {
			if update, ok := step.(orderer.WriteLease); ok {
				w.step(i, forwarder.LeaseWritten{Record: update.Update.Record, Answer: objectstore.Answer{Outcome: objectstore.Unknown}})
			} else {
				w.step(i, forwarder.LeaseRead{Answer: objectstore.Answer{Outcome: objectstore.Unknown}})
			}
		})
		return
	}
	w.after(5, func() {
		switch step := step.(type) {
		case orderer.ReadLease:
			answer := objectstore.Answer{Outcome: objectstore.Done, Version: w.leaseRevision, Value: w.leaseRecord.Encode()}
			if w.leaseRevision == 0 {
				answer = objectstore.Answer{Outcome: objectstore.Absent}
			}
			w.step(i, forwarder.LeaseRead{Answer: answer})
		case orderer.WriteLease:
			answer := objectstore.Answer{Outcome: objectstore.Conflict, Version: w.leaseRevision, Value: w.leaseRecord.Encode()}
			if step.Update.IfRevision == w.leaseRevision {
				w.leaseRevision++
				w.leaseRecord = step.Update.Record
				answer = objectstore.Answer{Outcome: objectstore.Done, Version: w.leaseRevision}
			}
			w.step(i, forwarder.LeaseWritten{Record: step.Update.Record, Answer: answer})
		}
	})
}

func (w *cluster) callEngine(i int, step orderer.Step) {
	w.after(3, func() {
		switch step := step.(type) {
		case orderer.AskReport:
			s := w.servers[step.Server]
			w.step(i, forwarder.ServerReported{Server: step.Server, Report: orderer.Report{Failed: s.down, Weights: s.entry.Weights, Accepted: s.acceptedOrders, Born: s.entry.Born}})
		case orderer.Order:
			if w.faultRandom.IntN(100) < w.lateOrderPercent {
				w.after(clock.Millis(2000+w.faultRandom.IntN(6000)), func() { w.acceptOrder(step) })
				w.after(200, func() { w.step(i, forwarder.OrderReplied{Server: step.Server, Reply: orderer.Unheard}) })
				return
			}
			reply := orderer.Refused
			if w.now < step.Until {
				reply = w.acceptOrder(step)
			}
			w.step(i, forwarder.OrderReplied{Server: step.Server, Reply: reply})
		}
	})
}

// acceptOrder is an engine that takes an order, unless it has accepted another one since.
func (w *cluster) acceptOrder(order orderer.Order) orderer.Reply {
	s := w.servers[order.Server]
	if order.Accepted != s.acceptedOrders || s.down {
		return orderer.Refused
	}
	s.acceptedOrders++
	w.after(w.loadDuration, func() { s.entry = s.entry.WithWeights(order.Model, order.Version) })
	return orderer.Accepted
}

// publishWeights names new weights; instances without the store hear of them from peers.
func (w *cluster) publishWeights() {
	w.publishedVersion++
	w.publishedAt[w.publishedVersion] = w.now
	for i := range w.instances {
		if !w.storeCutOff[i] {
			w.step(i, forwarder.WeightsNamed{Model: model, Version: w.publishedVersion, Fresh: true})
		}
	}
}
