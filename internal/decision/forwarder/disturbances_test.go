package forwarder_test

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// maybe does something once in the given number of times.
func (w *world) maybe(in int, do func()) {
	if w.source.IntN(in) == 0 {
		do()
	}
}

func (w *world) anyServer() *server {
	ids := w.ids()
	return w.servers[ids[w.source.IntN(len(ids))]]
}

// leave lets a server drain, be gone, and come back as a new one.
func (w *world) leave() {
	s := w.anyServer()
	if s.drainAt > 0 || s.gone {
		return
	}
	s.drainAt = w.now
	tell := func(draining, removed bool) {
		s.entry.Draining = draining
		s.entry.Revision++
		for i := range w.nodes {
			if !w.deaf[i] {
				w.step(i, forwarder.ServerChanged{Entry: s.entry, Removed: removed})
			}
		}
	}
	tell(true, false)
	w.after(4000, func() {
		s.gone = true
		tell(true, true)
		w.after(1000, func() {
			s.gone, s.drainAt, s.accepted = false, 0, 0
			s.entry.StartedAt++
			if s.entry.Service == "engines" {
				s.entry = s.entry.WithWeightVersion(model, w.named)
			}
			tell(false, false)
		})
	})
}

// crash lets a server be away for a while without a word.
func (w *world) crash() {
	s := w.anyServer()
	if s.drainAt > 0 || s.gone {
		return
	}
	s.gone = true
	w.after(2000, func() {
		s.gone, s.accepted = false, 0
		s.entry.StartedAt++
		s.entry.Revision++
		for i := range w.nodes {
			if !w.deaf[i] {
				w.step(i, forwarder.ServerChanged{Entry: s.entry})
			}
		}
	})
}

// restart kills an instance, with the requests that it had, and starts it again.
func (w *world) restart() {
	i := w.source.IntN(len(w.nodes))
	if w.down[i] {
		return
	}
	w.down[i] = true
	for _, r := range w.requests {
		if r.node == i && r.finals == 0 {
			r.finals = 1
			r.final = forwarder.Drop{}
		}
	}
	w.after(500, func() {
		w.down[i] = false
		w.deaf[i] = false
		w.start(i)
	})
}

// deafen cuts an instance off from the store for a while.
func (w *world) deafen() {
	i := w.source.IntN(len(w.nodes))
	if w.deaf[i] {
		return
	}
	w.deaf[i] = true
	w.step(i, forwarder.StoreFailed{Detail: "test"})
	w.after(clock.Millis(2000+w.source.IntN(6000)), func() {
		if !w.deaf[i] {
			return
		}
		w.deaf[i] = false
		w.step(i, forwarder.StoreAnswered{})
		w.step(i, forwarder.StateConfirmed{At: w.now})
		w.step(i, forwarder.WeightsNamed{Model: model, Version: w.named, Fresh: true})
		w.list(i)
	})
}

// freeze lets an instance stand still, as a suspended machine does.
func (w *world) freeze() {
	i := w.source.IntN(len(w.nodes))
	if !w.down[i] && w.now >= w.frozen[i] {
		w.frozen[i] = w.now.Add(clock.Millis(500 + w.source.IntN(6000)))
	}
}

// loseWatch lets an instance miss what the store tells for a moment, and then list.
func (w *world) loseWatch() {
	i := w.source.IntN(len(w.nodes))
	if w.deaf[i] {
		return
	}
	w.deaf[i] = true
	w.after(clock.Millis(100+w.source.IntN(1500)), func() {
		if !w.deaf[i] {
			return
		}
		w.deaf[i] = false
		w.step(i, forwarder.StateConfirmed{At: w.now})
		w.step(i, forwarder.WeightsNamed{Model: model, Version: w.named, Fresh: true})
		w.list(i)
	})
}

// changeSettings changes the bounds of an instance.
func (w *world) changeSettings() {
	i := w.source.IntN(len(w.nodes))
	w.places[i].Bounds.RetryExtra = int64(w.source.IntN(100))
	w.places[i].Bounds.RetryWindow = clock.Millis(2000 + w.source.IntN(10_000))
	w.step(i, forwarder.SiteRead{Site: w.places[i]})
}
