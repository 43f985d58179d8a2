package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// withProbability does something once in the given number of times.
func (w *cluster) withProbability(in int, do func()) {
	if w.random.IntN(in) == 0 {
		do()
	}
}

func (w *cluster) randomServer() *server {
	ids := w.serverIDs()
	return w.servers[ids[w.random.IntN(len(ids))]]
}

// drainServer lets a server drain, be gone, and come back as a new one.
func (w *cluster) drainServer() {
	s := w.randomServer()
	if s.drainingSince > 0 || s.down {
		return
	}
	s.drainingSince = w.now
	tell := func(draining, removed bool) {
		s.entry.Draining = draining
		s.entry.Revision++
		for i := range w.instances {
			if !w.storeCutOff[i] {
				w.step(i, forwarder.ServerChanged{Entry: s.entry, Removed: removed})
			}
		}
	}
	tell(true, false)
	w.after(4000, func() {
		s.down = true
		tell(true, true)
		w.after(1000, func() {
			s.down, s.drainingSince, s.acceptedOrders = false, 0, 0
			s.entry.Born++
			if s.entry.Service == "engines" {
				s.entry = s.entry.WithWeights(model, w.publishedVersion)
			}
			tell(false, false)
		})
	})
}

// crashServer lets a server be away for a while without a word.
func (w *cluster) crashServer() {
	s := w.randomServer()
	if s.drainingSince > 0 || s.down {
		return
	}
	s.down = true
	w.after(2000, func() {
		s.down, s.acceptedOrders = false, 0
		s.entry.Born++
		s.entry.Revision++
		for i := range w.instances {
			if !w.storeCutOff[i] {
				w.step(i, forwarder.ServerChanged{Entry: s.entry})
			}
		}
	})
}

// restartInstance kills an instance, with the requests that it had, and starts it again.
func (w *cluster) restartInstance() {
	i := w.random.IntN(len(w.instances))
	if w.stopped[i] {
		return
	}
	w.stopped[i] = true
	for _, r := range w.requests {
		if r.instance == i && r.finalActions == 0 {
			r.finalActions = 1
			r.finalAction = forwarder.Drop{}
		}
	}
	w.after(500, func() {
		w.stopped[i] = false
		w.storeCutOff[i] = false
		w.startInstance(i)
	})
}

// cutOffStore cuts an instance off from the store for a while.
func (w *cluster) cutOffStore() {
	i := w.random.IntN(len(w.instances))
	if w.storeCutOff[i] {
		return
	}
	w.storeCutOff[i] = true
	w.step(i, forwarder.StoreFailed{Detail: "test"})
	w.after(clock.Millis(2000+w.random.IntN(6000)), func() {
		if !w.storeCutOff[i] {
			return
		}
		w.storeCutOff[i] = false
		w.step(i, forwarder.StoreAnswered{})
		w.step(i, forwarder.StateConfirmed{At: w.now})
		w.step(i, forwarder.WeightsNamed{Model: model, Version: w.publishedVersion, Fresh: true})
		w.listServers(i)
	})
}

// freezeInstance lets an instance stand still, as a suspended machine does.
func (w *cluster) freezeInstance() {
	i := w.random.IntN(len(w.instances))
	if !w.stopped[i] && w.now >= w.frozenUntil[i] {
		w.frozenUntil[i] = w.now.Add(clock.Millis(500 + w.random.IntN(6000)))
	}
}

// loseStoreWatch lets an instance miss what the store tells for a moment, and then list.
func (w *cluster) loseStoreWatch() {
	i := w.random.IntN(len(w.instances))
	if w.storeCutOff[i] {
		return
	}
	w.storeCutOff[i] = true
	w.after(clock.Millis(100+w.random.IntN(1500)), func() {
		if !w.storeCutOff[i] {
			return
		}
		w.storeCutOff[i] = false
		w.step(i, forwarder.StateConfirmed{At: w.now})
		w.step(i, forwarder.WeightsNamed{Model: model, Version: w.publishedVersion, Fresh: true})
		w.listServers(i)
	})
}

// changeSettings changes the bounds of an instance.
func (w *cluster) changeSettings() {
	i := w.random.IntN(len(w.instances))
	w.settings[i].Bounds.RetryExtra = int64(w.random.IntN(100))
	w.settings[i].Bounds.RetryWindow = clock.Millis(2000 + w.random.IntN(10_000))
	w.step(i, forwarder.SiteRead{Site: w.settings[i]})
}
