package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// oneIn calls do with probability 1/n.
func (c *cluster) oneIn(n int, do func()) {
	if c.random.IntN(n) == 0 {
		do()
	}
}

func (c *cluster) randomServer() *server {
	ids := c.serverIDs()
	return c.servers[ids[c.random.IntN(len(ids))]]
}

// drainServer drains a random server, stops it and starts it again.
func (c *cluster) drainServer() {
	s := c.randomServer()
	if s.drainingSince > 0 || s.down {
		return
	}
	s.drainingSince = c.now
	notify := func(draining, removed bool) {
		s.entry.Draining = draining
		s.entry.Revision++
		for i := range c.instances {
			if !c.storeCutOff[i] {
				c.step(i, forwarder.ServerChanged{Entry: s.entry, Removed: removed})
			}
		}
	}
	notify(true, false)
	c.after(4000, func() {
		s.down = true
		notify(true, true)
		c.after(1000, func() {
			s.down, s.drainingSince, s.acceptedOrders = false, 0, 0
			s.entry.StartedAt++
			if s.entry.Service == "engines" {
				s.entry = s.entry.WithWeightVersion(model, c.publishedVersion)
			}
			notify(false, false)
		})
	})
}

// crashServer stops a random server without draining it, and starts it again.
func (c *cluster) crashServer() {
	s := c.randomServer()
	if s.drainingSince > 0 || s.down {
		return
	}
	s.down = true
	c.after(2000, func() {
		s.down, s.acceptedOrders = false, 0
		s.entry.StartedAt++
		s.entry.Revision++
		for i := range c.instances {
			if !c.storeCutOff[i] {
				c.step(i, forwarder.ServerChanged{Entry: s.entry})
			}
		}
	})
}

// restartInstance kills a random instance with its in-flight requests and starts it
// again.
func (c *cluster) restartInstance() {
	i := c.random.IntN(len(c.instances))
	if c.stopped[i] {
		return
	}
	c.stopped[i] = true
	for _, r := range c.requests {
		if r.instance == i && r.finalActions == 0 {
			r.finalActions = 1
			r.finalAction = forwarder.DropRequest{}
		}
	}
	c.disturb(i, c.now.Add(500))
	c.after(500, func() {
		c.stopped[i] = false
		c.storeCutOff[i] = false
		c.startInstance(i)
	})
}

// disturb records the time until which an instance is out of touch.
func (c *cluster) disturb(i int, until clock.Millis) {
	if c.disturbedUntil == nil {
		c.disturbedUntil = map[int]clock.Millis{}
	}
	c.disturbedUntil[i] = max(c.disturbedUntil[i], until)
}

// cutOffStore disconnects a random instance from the store for some seconds.
func (c *cluster) cutOffStore() {
	i := c.random.IntN(len(c.instances))
	if c.storeCutOff[i] {
		return
	}
	c.storeCutOff[i] = true
	c.step(i, forwarder.StoreFailed{Detail: "test"})
	c.after(clock.Millis(2000+c.random.IntN(6000)), func() {
		if !c.storeCutOff[i] {
			return
		}
		c.storeCutOff[i] = false
		c.step(i, forwarder.StoreResponded{})
		c.step(i, forwarder.StateConfirmed{ConfirmedAt: c.now})
		c.step(i, forwarder.WeightsPublished{Model: model, Version: c.publishedVersion})
		c.listServers(i)
	})
}

// pauseInstance pauses a random instance, as a suspended virtual machine is.
func (c *cluster) pauseInstance() {
	i := c.random.IntN(len(c.instances))
	if !c.stopped[i] && c.now >= c.pausedUntil[i] {
		c.pausedUntil[i] = c.now.Add(clock.Millis(500 + c.random.IntN(6000)))
		c.disturb(i, c.pausedUntil[i])
	}
}

// loseStoreWatch makes a random instance miss the store's updates for a moment, and
// then list the servers again.
func (c *cluster) loseStoreWatch() {
	i := c.random.IntN(len(c.instances))
	if c.storeCutOff[i] {
		return
	}
	c.storeCutOff[i] = true
	c.after(clock.Millis(100+c.random.IntN(1500)), func() {
		if !c.storeCutOff[i] {
			return
		}
		c.storeCutOff[i] = false
		c.step(i, forwarder.StateConfirmed{ConfirmedAt: c.now})
		c.step(i, forwarder.WeightsPublished{Model: model, Version: c.publishedVersion})
		c.listServers(i)
	})
}

// changeSettings changes the bounds of a random instance.
func (c *cluster) changeSettings() {
	i := c.random.IntN(len(c.instances))
	c.settings[i].Bounds.RetryExtra = int64(c.random.IntN(100))
	c.settings[i].Bounds.RetryWindow = clock.Millis(2000 + c.random.IntN(10_000))
	c.step(i, forwarder.SettingsReloaded{Settings: c.settings[i]})
}
