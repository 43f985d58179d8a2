package orderer

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// phase is where a job is.
type phase int

const (
	reporting phase = iota // reporting waits for a report before the order.
	ordering               // ordering waits for the answer to the order.
	loading                // loading polls until the weights are there.
)

// job is the update of one engine.
type job struct {
	address string
	model   string
	version int64
	born    int64
	phase   phase
	began   clock.Millis
	// due is when the next report is asked for, or the wait for an answer ends.
	due      clock.Millis
	waiting  bool // waiting for an answer to a report.
	accepted bool // accepted tells that the engine has accepted the order.
	// unheard tells that an order got no answer: the engine may serve for seconds until
	// it carries that out, if it does.
	unheard bool
}

// quiet is how long after an order a report may not show it.
func (j job) quiet() clock.Millis {
	if j.accepted {
		return loadTime + answerWait
	}
	return reportLag
}

// outdated returns the engines with old weights, the least busy first.
func (o *Orderer) outdated(view View) []Engine {
	old := slices.DeleteFunc(slices.Clone(view.Engines), func(engine Engine) bool {
		_, _, behind := o.wanted(engine)
		return !behind || engine.Down
	})
	slices.SortStableFunc(old, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	return old
}

// wanted returns the model whose weights the engine has too old, and the version.
func (o *Orderer) wanted(engine Engine) (string, int64, bool) {
	for _, model := range slices.Sorted(maps.Keys(engine.Weights)) {
		if newest := o.named[model].newest().version; newest > engine.Weights[model] {
			return model, newest, true
		}
	}
	return "", 0, false
}

// dropJobs ends the jobs that are done, and those whose engine is gone.
func (o *Orderer) dropJobs(now clock.Millis, view View) {
	engines := map[string]Engine{}
	for _, engine := range view.Engines {
		engines[engine.ID] = engine
	}
	for id, job := range o.jobs {
		engine, listed := engines[id]
		done := engine.Weights[job.model] >= job.version
		if !listed || engine.Down || engine.Born != job.born || done || now.Since(job.began) > giveUpAfter {
			delete(o.jobs, id)
		}
	}
}

// placesFor returns how many engines may load at a time.
func placesFor(view View) int {
	up := 0
	for _, engine := range view.Engines {
		if !engine.Down {
			up++
		}
	}
	return max(1, min(atOnce, up/atOncePart))
}

// work goes on with the jobs and begins new ones.
func (o *Orderer) work(now clock.Millis, old []Engine, places int) []Step {
	var steps []Step
	for _, engine := range old {
		if len(o.jobs) >= places && !engine.Unused {
			continue
		}
		if _, busy := o.jobs[engine.ID]; busy || now < o.paused[engine.ID] {
			continue
		}
		model, version, _ := o.wanted(engine)
		o.jobs[engine.ID] = job{address: engine.Address, model: model, version: version, born: engine.Born, began: now, due: now}
	}
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		job := o.jobs[id]
		if now < job.due {
			continue
		}
		if job.phase == ordering {
			// No answer came in time; the report tells what became of the order.
			job.phase = loading
		}
		job.waiting = true
		job.due = now.Add(answerWait)
		o.jobs[id] = job
		steps = append(steps, AskReport{Server: id, Address: job.address})
	}
	return steps
}

// Reported takes in an engine's report, and returns the order that follows, if any.
func (o *Orderer) Reported(now clock.Millis, server string, report Report) []Step {
	job, ok := o.jobs[server]
	if !ok || !job.waiting {
		return nil
	}
	job.waiting = false
	defer func() {
		if _, still := o.jobs[server]; still {
			o.jobs[server] = job
		}
	}()
	if job.phase == reporting {
		job.version = o.named[job.model].newest().version
	}
	switch {
	case report.Failed || report.Busy:
		job.accepted = job.accepted || (report.Busy && job.phase == loading)
		job.due = now.Add(pollEvery)
		return nil
	case report.Born != 0 && job.born != 0 && report.Born != job.born, report.Weights[job.model] >= job.version:
		delete(o.jobs, server)
		return nil
	case job.phase == loading && now.Since(job.began) < job.quiet():
		job.due = now.Add(pollEvery)
		return nil
	case !o.lease.held(now):
		job.due = now.Add(pollEvery)
		return nil
	}
	// An order that got no answer may still be carried out later. This one has the
	// number of orders that the engine had accepted before, so only one of them is.
	job.version = o.named[job.model].newest().version
	job.phase, job.accepted = ordering, false
	job.began = now
	job.due = now.Add(orderWait)
	return []Step{Order{
		Server: server, Address: job.address, Model: job.model, Version: job.version,
		Holder: o.lease.self, Fence: o.lease.fence, Accepted: report.Accepted, Until: o.lease.heldUntil,
	}}
}

// Replied takes in an engine's answer to an order.
func (o *Orderer) Replied(now clock.Millis, server string, reply Reply) {
	job, ok := o.jobs[server]
	if !ok || job.phase != ordering {
		return
	}
	job.phase = loading
	job.due = now.Add(pollEvery)
	switch reply {
	case Accepted:
		job.accepted = true
		job.due = now.Add(loadTime)
	case Holds:
		job.accepted = true
	case Unheard:
		job.unheard = true
	case Refused:
		// The engine carries out another order, or has since the report.
		job.phase = reporting
	case Misaddressed:
		delete(o.jobs, server)
		o.paused[server] = now.Add(retryAfter)
		return
	}
	o.jobs[server] = job
}
