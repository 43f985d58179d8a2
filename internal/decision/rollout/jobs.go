package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// phase is the progress of a job.
type phase int

const (
	awaitingReport  phase = iota // awaitingReport needs a report before the order.
	awaitingOutcome              // awaitingOutcome waits for the outcome of the order.
	loading                      // loading polls until the weights are loaded.
)

// job is the update of one engine.
type job struct {
	address string
	model   string
	version int64
	// engineStartedAt is the engine's StartedAt at the job's start; it differs after a
	// restart of the engine.
	engineStartedAt int64
	phase           phase
	// startedAt is the time of the job's start or of its latest order.
	startedAt clock.Millis
	// nextPollAt is the time of the next request for a report. While a report or the
	// outcome of an order is outstanding, it is the end of the wait for it.
	nextPollAt    clock.Millis
	reportPending bool // reportPending is set while a requested report is outstanding.
	accepted      bool // accepted is set once the engine has accepted the order.
	// unanswered is set if an order got no response. The engine may serve for seconds
	// until it carries out the order, or never carry it out.
	unanswered bool
}

// reportDelay returns the time after an order during which a report may not yet show the
// order's effect.
func (j job) reportDelay() clock.Millis {
	if j.accepted {
		return minLoadTime + reportTimeout
	}
	return maxReportAge
}

// outdatedEngines returns the reachable engines with old weights, the least busy first.
func (c *Controller) outdatedEngines(view View) []Engine {
	outdated := slices.DeleteFunc(slices.Clone(view.Engines), func(engine Engine) bool {
		_, _, isOutdated := c.outdatedModel(engine)
		return !isOutdated || engine.Down
	})
	slices.SortStableFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	return outdated
}

// outdatedModel returns the first model whose weights on the engine are outdated, and
// its newest version. It reports false if there is none.
func (c *Controller) outdatedModel(engine Engine) (string, int64, bool) {
	for _, model := range slices.Sorted(maps.Keys(engine.WeightVersions)) {
		if newest := c.versions[model].newest().version; newest > engine.WeightVersions[model] {
			return model, newest, true
		}
	}
	return "", 0, false
}

// removeJobs removes jobs that are done, have timed out, or whose engine is gone, down
// or restarted.
func (c *Controller) removeJobs(now clock.Millis, view View) {
	engines := map[string]Engine{}
	for _, engine := range view.Engines {
		engines[engine.ID] = engine
	}
	for id, job := range c.jobs {
		engine, listed := engines[id]
		done := engine.WeightVersions[job.model] >= job.version
		if done {
			c.recordLoad(now, job)
		}
		if !listed || engine.Down || engine.StartedAt != job.engineStartedAt || done || now.Since(job.startedAt) > jobTimeout {
			delete(c.jobs, id)
		}
	}
}

// loadLimit returns the maximum number of engines that may load at a time: few, or as many
// as are needed so that all have loaded in time.
func (c *Controller) loadLimit(view View) int {
	up := 0
	for _, engine := range view.Engines {
		if !engine.Down {
			up++
		}
	}
	needed := 0
	if view.MaxWeightsAge > 0 {
		needed = int(math.Ceil(float64(up) * c.loadTime / float64(view.MaxWeightsAge*rolloutTenths/10)))
	}
	return max(1, min(maxConcurrentLoads, up/enginesPerLoad), min(needed, up/enginesPerLargeLoad))
}

// recordLoad records the time that an engine took to load.
func (c *Controller) recordLoad(now clock.Millis, job job) {
	if job.accepted {
		c.loadTime += loadTimeWeight * (float64(now.Since(job.startedAt)) - c.loadTime)
	}
}

// advanceJobs starts jobs, up to the limit except for engines that are TooOld, and requests
// the reports that are due.
func (c *Controller) advanceJobs(now clock.Millis, outdated []Engine, limit int) []Step {
	var steps []Step
	for _, engine := range outdated {
		if len(c.jobs) >= limit && !engine.TooOld {
			continue
		}
		if _, hasJob := c.jobs[engine.ID]; hasJob || now < c.pausedUntil[engine.ID] {
			continue
		}
		model, version, _ := c.outdatedModel(engine)
		c.jobs[engine.ID] = job{address: engine.Address, model: model, version: version, engineStartedAt: engine.StartedAt, startedAt: now, nextPollAt: now}
	}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		job := c.jobs[id]
		if now < job.nextPollAt {
			continue
		}
		if job.phase == awaitingOutcome {
			// The outcome did not arrive in time; the next report shows whether the
			// engine carries out the order.
			job.phase = loading
		}
		job.reportPending = true
		job.nextPollAt = now.Add(reportTimeout)
		c.jobs[id] = job
		steps = append(steps, RequestReport{Server: id, Address: job.address, StartedAt: job.engineStartedAt})
	}
	return steps
}

// HandleReport handles an engine's report, and returns the order that follows, if any.
func (c *Controller) HandleReport(now clock.Millis, server string, report Report) []Step {
	job, ok := c.jobs[server]
	if !ok || !job.reportPending {
		return nil
	}
	job.reportPending = false
	defer func() {
		if _, exists := c.jobs[server]; exists {
			c.jobs[server] = job
		}
	}()
	if job.phase == awaitingReport {
		job.version = c.versions[job.model].newest().version
	}
	switch {
	case report.Failed || report.Busy:
		job.accepted = job.accepted || (report.Busy && job.phase == loading)
		job.nextPollAt = now.Add(pollInterval)
		return nil
	case report.WeightVersions[job.model] >= job.version:
		c.recordLoad(now, job)
		delete(c.jobs, server)
		return nil
	case report.StartedAt != 0 && job.engineStartedAt != 0 && report.StartedAt != job.engineStartedAt:
		delete(c.jobs, server)
		return nil
	case job.phase == loading && now.Since(job.startedAt) < job.reportDelay():
		job.nextPollAt = now.Add(pollInterval)
		return nil
	case !c.lease.isHeld(now):
		job.nextPollAt = now.Add(pollInterval)
		return nil
	}
	// An earlier order without a response may still be carried out later. Both orders
	// carry the same count of accepted orders, so the engine accepts only one of them.
	job.version = c.versions[job.model].newest().version
	job.phase, job.accepted = awaitingOutcome, false
	job.startedAt = now
	job.nextPollAt = now.Add(orderTimeout)
	return []Step{Order{
		Server: server, Address: job.address, StartedAt: job.engineStartedAt, Model: job.model, Version: job.version,
		Holder: c.lease.self, Fence: c.lease.fence, AcceptedOrders: report.AcceptedOrders, Deadline: c.lease.heldUntil,
	}}
}

// HandleOrderOutcome handles the outcome of an order.
func (c *Controller) HandleOrderOutcome(now clock.Millis, server string, outcome OrderOutcome) {
	job, ok := c.jobs[server]
	if !ok || job.phase != awaitingOutcome {
		return
	}
	job.phase = loading
	job.nextPollAt = now.Add(pollInterval)
	switch outcome {
	case Accepted:
		job.accepted = true
		job.nextPollAt = now.Add(minLoadTime)
	case AlreadyLoaded:
		job.accepted = true
	case NoResponse:
		job.unanswered = true
	case Refused:
		// The engine carries out another order, or has done so since the report.
		job.phase = awaitingReport
	case Misdirected:
		delete(c.jobs, server)
		c.pausedUntil[server] = now.Add(misdirectedDelay)
		return
	}
	c.jobs[server] = job
}
