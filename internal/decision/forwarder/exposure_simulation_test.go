package forwarder_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var rolloutSeeds = flag.Int("rollout-seeds", 0, "number of seeds for each case of TestRollouts; 0 for the usual ones")

// The bounds of the simulated roll-outs, and the number of bad answers after which the bound
// on the time for taking back counts.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackTime  = 5 * clock.Second
	badLimit      = 50
	rolloutTime   = 40 * clock.Second
	// largeRolloutTime is the time at the largest size, which takes minutes to simulate.
	largeRolloutTime = 12 * clock.Second
)

// softwareRollout simulates the operator's order in the store, servers of a new version and
// what they answer.
type softwareRollout struct {
	*cluster
	order    exposurekeeper.Order
	revision int64
	status   exposurekeeper.Verdict
	// statuses are the final ones that were written, and endedAt the time of the first.
	statuses  []exposurekeeper.Verdict
	orderedAt clock.Millis
	endedAt   clock.Millis
	// badness draws the answer of the new version; nil for a good one.
	badness func(r *softwareRollout, kind string) (failed bool, slower clock.Millis)
	// all are the requests to the service, and toTarget the times of the sends to the target.
	all      int
	toTarget []clock.Millis
	// badAt are the times of bad answers.
	badAt []clock.Millis
	// oldUntil are the times until which requests run on old servers.
	oldUntil map[string]clock.Millis
	// oldAtEnd are the requests that ran on old servers at the completion.
	oldAtEnd []string
	cutUntil clock.Millis
	// interrupted is the number of requests that crashes of servers interrupted.
	interrupted int
}

func newRollout(t *testing.T, seed uint64, instances, domains int) *softwareRollout {
	r := &softwareRollout{cluster: newClusterIn(t, seed, instances, domains), order: exposurekeeper.Order{Service: "engines", Target: "v2", Duration: rolloutTime}, revision: 1, oldUntil: map[string]clock.Millis{}}
	if instances > 100 {
		r.order.Duration = largeRolloutTime
	}
	r.streamDuration, r.lossPercent = 900, 2
	r.setSoftwareVersions("v1")
	for i := range r.settings {
		bounds := &r.settings[i].Bounds
		bounds.ExposureShare, bounds.ExposureSlack, bounds.RollbackTime = exposureShare, exposureSlack, rollbackTime
	}
	for _, id := range r.serverIDs() {
		if old := r.servers[id].entry; old.Service == "engines" {
			added := registry.Entry{ID: "n" + id, Service: "engines", Address: "n" + id, Domain: old.Domain, Slots: 64, SoftwareVersion: "v2", StartedAt: 1, Revision: 1}
			r.servers[added.ID] = &server{entry: added.WithWeightVersion(model, 1)}
		}
	}
	for i := range r.instances {
		r.startInstance(i)
	}
	r.cut = func(from, to int) bool { return r.now < r.cutUntil && (from%r.domains == 0) != (to%r.domains == 0) }
	r.run(3 * clock.Second)
	return r
}

// start writes the order.
func (r *softwareRollout) start() {
	r.cluster.rollout, r.orderedAt = r, r.now
	r.tellAll()
}

func (r *softwareRollout) tellAll() {
	for i := range r.instances {
		r.tell(i, clock.Millis(20+r.faultRandom.IntN(400)))
	}
}

// tell delivers the order to an instance, unless that can't reach the store.
func (r *softwareRollout) tell(i int, delay clock.Millis) {
	instance := r.instances[i]
	r.after(delay, func() {
		switch {
		case r.instances[i] != instance || r.stopped[i]:
		case r.storeCutOff[i] || (r.now < r.cutUntil && i%r.domains == 0):
			r.tell(i, 500)
		default:
			r.step(i, forwarder.SoftwareOrdered{Order: r.order, Era: 1, Revision: r.revision, Final: r.status})
		}
	})
}

// write simulates the write of a verdict.
func (r *softwareRollout) write(i int, write forwarder.WriteVerdict) {
	instance := r.instances[i]
	r.after(clock.Millis(3+r.faultRandom.IntN(30)), func() {
		if r.instances[i] != instance || r.stopped[i] {
			return
		}
		written := forwarder.VerdictWritten{Service: write.Service, Revision: write.IfRevision, Verdict: write.Verdict, Response: objectstore.Response{Outcome: objectstore.Refused}}
		switch {
		case r.now < r.pausedUntil[i] || r.now > write.Deadline || r.storeCutOff[i]:
		case write.IfRevision != r.revision:
			written.Response.Outcome = objectstore.Conflict
		default:
			r.revision++
			r.status = write.Verdict
			r.statuses = append(r.statuses, write.Verdict)
			r.endedAt, r.oldAtEnd = r.now, r.runningOld()
			written.Response = objectstore.Response{Outcome: objectstore.Done, Version: r.revision}
			r.tellAll()
		}
		r.step(i, written)
	})
}

// runningOld returns the requests that run on old servers. Those of a killed instance have
// ended with its connections; those of a frozen one run to their end at the server.
func (r *softwareRollout) runningOld() []string {
	var running []string
	for id, until := range r.oldUntil {
		_, dropped := r.requests[id].finalAction.(forwarder.DropRequest)
		if r.now < until && !dropped {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	return running
}

// record records a send to the service.
func (r *softwareRollout) record(_ int, dispatch forwarder.Dispatch, s *server, sent *request) {
	if s.entry.Service != r.order.Service || r.now > r.orderedAt.Add(r.order.Duration) {
		return
	}
	if sent.attempts == 1 {
		r.all++
	}
	if s.entry.SoftwareVersion == r.order.Target {
		r.toTarget = append(r.toTarget, r.now)
	} else {
		r.oldUntil[dispatch.Request] = r.now.Add(r.streamDuration)
	}
}

// answer draws the answer of a server of the new version.
func (r *softwareRollout) answer(kind string) (failed bool, slower clock.Millis) {
	if r.badness == nil {
		return false, 0
	}
	if failed, slower = r.badness(r, kind); failed || slower > 0 {
		r.badAt = append(r.badAt, r.now.Add(50+slower))
	}
	return failed, slower
}

// play sends requests to all instances for the time of the order and some seconds more.
func (r *softwareRollout) play(perInstance float64, inject func(r *softwareRollout)) {
	const step = 20 * clock.Millisecond
	due, nextFault := 0.0, r.now.Add(2*clock.Second)
	for end := r.orderedAt.Add(r.order.Duration + clock.Second); r.now < end; {
		if r.endedAt > 0 {
			// Some seconds more show what a version that was taken back still gets.
			end = min(end, r.endedAt.Add(rollbackTime+clock.Second))
		}
		for due += perInstance * float64(len(r.instances)) * float64(step) / 1000; due >= 1; due-- {
			kind := "stream"
			if r.random.IntN(4) == 0 {
				kind = "once"
			}
			if i := r.random.IntN(len(r.instances)); !r.stopped[i] {
				r.sendRequest(i, kind)
			}
		}
		if r.now >= nextFault && inject != nil {
			nextFault = r.now.Add(500)
			inject(r)
		}
		r.run(step)
	}
}

// freezeHolder pauses the instance that holds the lease.
func (r *softwareRollout) freezeHolder() {
	for i, instance := range r.instances {
		if !r.stopped[i] && r.now >= r.pausedUntil[i] && instance.StatusAt(r.now).HoldsLease {
			r.pausedUntil[i] = r.now.Add(6 * clock.Second)
			return
		}
	}
}

// crashTarget crashes a server of the new version, whose running requests are interrupted.
func (r *softwareRollout) crashTarget() {
	var ids []string
	for _, id := range r.serverIDs() {
		if s := r.servers[id]; s.entry.SoftwareVersion == r.order.Target && !s.down {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return
	}
	s := r.servers[ids[r.random.IntN(len(ids))]]
	s.down = true
	for _, sent := range r.requests {
		if dispatch := sent.lastDispatch; sent.finalActions == 0 && dispatch.Server == s.entry.ID && !r.stopped[sent.instance] {
			r.interrupted++
			r.step(sent.instance, forwarder.AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeInterrupted, Status: 200, Delivered: sent.partDelivered, LastEventID: "1"})
		}
	}
	r.after(2*clock.Second, func() {
		s.down = false
		s.entry.StartedAt++
		s.entry.Revision++
		for i := range r.instances {
			r.step(i, forwarder.ServerChanged{Entry: s.entry})
		}
	})
}

// requireBounded verifies the bounds of a bad version.
func (r *softwareRollout) requireBounded(label string) {
	require.LessOrEqual(r.t, float64(len(r.toTarget)), exposureShare*float64(r.all)+exposureSlack, "%s: requests to the target of %d", label, r.all)
	slices.Sort(r.badAt)
	if len(r.badAt) > badLimit {
		last := r.toTarget[len(r.toTarget)-1]
		require.LessOrEqual(r.t, last, r.badAt[badLimit-1].Add(rollbackTime), "%s: the last request to the target", label)
	}
}

// rolloutLines returns the log of the roll-out.
func (r *softwareRollout) rolloutLines() []string {
	lines := r.linesWith("rolloutPhase")
	for _, event := range []string{"rolloutVerdict", "rolloutEnded", "leaseAsked", "leaseTaken"} {
		lines = append(lines, r.linesWith(event)...)
	}
	return lines
}

func fails(percent int) func(r *softwareRollout, kind string) (bool, clock.Millis) {
	return func(r *softwareRollout, _ string) (bool, clock.Millis) { return r.random.IntN(100) < percent, 0 }
}

// TestRollouts guards against bad versions that get too many requests or are completed, and
// against good ones that are taken back or completed while streams run on old servers. The
// Exposure stays within its bounds with kills, a cut, a frozen holder and crashes.
func TestRollouts(t *testing.T) {
	t.Parallel()
	kills := func(r *softwareRollout) { r.oneIn(5, r.restartInstance) }
	cut := func(r *softwareRollout) {
		if since := r.now.Since(r.orderedAt); since > 8*clock.Second && since < 9*clock.Second {
			r.cutUntil = r.now.Add(5 * clock.Second)
		}
	}
	crashes := func(r *softwareRollout) { r.oneIn(6, r.crashServer) }
	crashTargets := func(r *softwareRollout) { r.oneIn(4, r.crashTarget) }
	freeze := func(r *softwareRollout) { r.freezeHolder() }
	// The store also has the assignments of resumable streams.
	assigned := func(r *softwareRollout) {
		if r.assignments == nil {
			r.assignments = map[string]forwarder.Assignment{}
		}
	}
	later := func(r *softwareRollout, _ string) (bool, clock.Millis) {
		return r.now.Since(r.orderedAt) > r.order.Duration/4 && r.random.IntN(100) < 40, 0
	}
	inMove := func(r *softwareRollout, _ string) (bool, clock.Millis) {
		return r.now.Since(r.orderedAt) > r.order.Duration*7/10 && r.random.IntN(100) < 40, 0
	}
	for name, test := range map[string]struct {
		instances, domains, seeds int
		perInstance               float64
		badness                   func(r *softwareRollout, kind string) (bool, clock.Millis)
		inject                    func(r *softwareRollout)
	}{
		"good, 7 instances":                         {7, 3, 2, 6, nil, nil},
		"good, kills, 7 instances":                  {7, 3, 2, 6, nil, kills},
		"good, a cut, 7 instances":                  {7, 3, 2, 6, nil, cut},
		"good, crashes, 7 instances":                {7, 3, 2, 6, nil, crashes},
		"good, crashes of new servers, 7 instances": {7, 3, 2, 12, nil, crashTargets},
		"good, frozen holders, 7 instances":         {7, 3, 2, 6, nil, freeze},
		"bad at once, 7 instances":                  {7, 3, 2, 6, fails(50), nil},
		"bad at once, kills, 7 instances":           {7, 3, 2, 6, fails(50), kills},
		"bad at once, a cut, 7 instances":           {7, 3, 2, 6, fails(30), cut},
		"bad, frozen holders, 7 instances":          {7, 3, 2, 6, fails(30), freeze},
		"bad later, 7 instances":                    {7, 3, 2, 6, later, nil},
		"bad in the move, 7 instances":              {7, 3, 2, 6, inMove, nil},
		"bad on one route, 7 instances": {7, 3, 2, 6, func(r *softwareRollout, kind string) (bool, clock.Millis) {
			return kind == "once" && r.random.IntN(2) == 0, 0
		}, nil},
		"slow, 7 instances": {7, 3, 2, 6, func(r *softwareRollout, _ string) (bool, clock.Millis) {
			return false, 300 * clock.Millis(r.random.IntN(2))
		}, nil},
		"good, kills and crashes, 67 instances":    {67, 3, 1, 2, nil, func(r *softwareRollout) { kills(r); crashes(r) }},
		"bad, kills and a cut, 67 instances":       {67, 3, 1, 2, fails(30), func(r *softwareRollout) { kills(r); cut(r) }},
		"good, assigned streams, 7 instances":      {7, 3, 2, 6, nil, assigned},
		"bad, assigned streams, 7 instances":       {7, 3, 2, 6, fails(50), assigned},
		"bad later, assigned streams, 7 instances": {7, 3, 2, 6, later, assigned},
		"bad later, kills, 295 instances":          {295, 5, 1, 1, later, kills},
		"good, a kill, 295 instances":              {295, 5, 1, 1, nil, func(r *softwareRollout) { r.oneIn(12, r.restartInstance) }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if raceDetector && test.instances > 7 {
				t.Skip("a state machine has no concurrency, and the race detector takes minutes at this size")
			}
			seeds := test.seeds
			if raceDetector {
				seeds = 1
			}
			if *rolloutSeeds > 0 {
				seeds = *rolloutSeeds
			}
			for seed := range uint64(seeds) {
				r := newRollout(t, seed, test.instances, test.domains)
				r.badness = test.badness
				r.start()
				r.play(test.perInstance, test.inject)
				label := fmt.Sprintf("seed %d", seed)
				t.Logf("%s: %d of %d requests to the target, %d bad, %d interrupted, %v after %d ms", label, len(r.toTarget), r.all, len(r.badAt), r.interrupted, r.statuses, r.endedAt.Since(r.orderedAt))
				want := exposurekeeper.Complete
				if test.badness != nil {
					want = exposurekeeper.RollBack
					require.NotEmpty(t, r.badAt, "%s: the version was taken back before it was bad", label)
					r.requireBounded(label)
				}

				require.Equal(t, []exposurekeeper.Verdict{want}, r.statuses, "%s\n%v", label, r.rolloutLines())
				require.LessOrEqual(t, r.endedAt.Since(r.orderedAt), r.order.Duration, label)
				if want == exposurekeeper.Complete {
					require.Empty(t, r.oldAtEnd, "%s: requests on old servers", label)
				}
			}
		})
	}
}
