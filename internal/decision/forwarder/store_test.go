package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/rollout"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// callStore simulates the store's reads and writes of the lease.
func (c *cluster) callStore(i int, step rollout.Step) {
	if c.storeCutOff[i] {
		c.after(900, func() {
			if update, ok := step.(rollout.WriteLease); ok {
				c.step(i, forwarder.LeaseWritten{Record: update.Update.Record, Response: objectstore.Response{Outcome: objectstore.Unknown}})
			} else {
				c.step(i, forwarder.LeaseRead{Response: objectstore.Response{Outcome: objectstore.Unknown}})
			}
		})
		return
	}
	c.after(5, func() {
		switch step := step.(type) {
		case rollout.ReadLease:
			response := objectstore.Response{Outcome: objectstore.Done, Version: c.leaseRevision, Value: c.leaseRecord.Encode()}
			if c.leaseRevision == 0 {
				response = objectstore.Response{Outcome: objectstore.NotFound}
			}
			c.step(i, forwarder.LeaseRead{Response: response})
		case rollout.WriteLease:
			response := objectstore.Response{Outcome: objectstore.Conflict, Version: c.leaseRevision, Value: c.leaseRecord.Encode()}
			if step.Update.IfRevision == c.leaseRevision {
				c.leaseRevision++
				c.leaseRecord = step.Update.Record
				response = objectstore.Response{Outcome: objectstore.Done, Version: c.leaseRevision}
			}
			c.step(i, forwarder.LeaseWritten{Record: step.Update.Record, Response: response})
		}
	})
}

// callEngine simulates an engine's reports and its replies to orders.
func (c *cluster) callEngine(i int, step rollout.Step) {
	c.after(3, func() {
		if c.cutOffFromEngine(i, step) {
			return
		}
		switch step := step.(type) {
		case rollout.RequestReport:
			s := c.servers[step.Server]
			declined := c.sendNotice(i, s, step.StartedAt)
			c.step(i, forwarder.EngineReported{Server: step.Server, Report: rollout.Report{Failed: s.down || s.queueFull || declined, Unreachable: s.down || s.queueFull, Gone: s.down, WeightVersions: s.entry.WeightVersions, AcceptedOrders: s.acceptedOrders, StartedAt: s.entry.StartedAt}})
		case rollout.Order:
			if c.sendNotice(i, c.servers[step.Server], step.StartedAt) {
				c.step(i, forwarder.OrderReplied{Server: step.Server, Reply: rollout.NoResponse})
				return
			}
			if c.faultRandom.IntN(100) < c.lateOrderPercent {
				c.after(clock.Millis(2000+c.faultRandom.IntN(6000)), func() { c.acceptOrder(step) })
				c.after(200, func() { c.step(i, forwarder.OrderReplied{Server: step.Server, Reply: rollout.NoResponse}) })
				return
			}
			reply := rollout.Refused
			if c.now < step.Deadline {
				reply = c.acceptOrder(step)
			}
			c.step(i, forwarder.OrderReplied{Server: step.Server, Reply: reply})
		}
	})
}

// cutOffFromEngine fails the call if a cut separates the instance from the engine.
func (c *cluster) cutOffFromEngine(i int, step rollout.Step) bool {
	switch step := step.(type) {
	case rollout.RequestReport:
		cut, isCut := c.cutFrom(i, step.Server)
		if isCut {
			delay, refused := cut.failConnect()
			c.after(delay, func() {
				c.step(i, forwarder.EngineReported{Server: step.Server, Report: rollout.Report{Failed: true, Unreachable: true, Gone: refused}})
			})
		}
		return isCut
	case rollout.Order:
		cut, isCut := c.cutFrom(i, step.Server)
		if isCut {
			delay, _ := cut.failConnect()
			c.after(delay, func() { c.step(i, forwarder.OrderReplied{Server: step.Server, Reply: rollout.Misdirected}) })
		}
		return isCut
	default:
		return false
	}
}

// acceptOrder makes an engine load weights, unless it has accepted another order since.
func (c *cluster) acceptOrder(order rollout.Order) rollout.OrderOutcome {
	s := c.servers[order.Server]
	if order.AcceptedOrders != s.acceptedOrders || s.down || s.queueFull {
		return rollout.Refused
	}
	s.acceptedOrders++
	c.after(c.loadDuration, func() { s.entry = s.entry.WithWeightVersion(order.Model, order.Version) })
	return rollout.Accepted
}

// publishWeights publishes new weights; instances cut off from the store learn of them
// from peers.
func (c *cluster) publishWeights() {
	c.publishedVersion++
	c.publishedAt[c.publishedVersion] = c.now
	for i := range c.instances {
		if !c.storeCutOff[i] {
			c.publishTo(i, c.publishedVersion)
		}
	}
}

// publishTo delivers the change to an instance that watches the store: the watch was waiting.
func (c *cluster) publishTo(i int, version int64) {
	revision := 2 * version
	c.step(i, forwarder.ReplicaUpdated{Kind: replicator.Rollouts, Copy: replicator.Copy{Revision: revision - 1, ConfirmedAt: c.now}})
	c.step(i, forwarder.WeightsPublished{Model: model, Version: version, Position: storeposition.Position{Revision: revision}})
}
