package forwarder_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// engineRun is an attempt at an engine of a cluster in which parts of prompts crash engines.
type engineRun struct {
	instance *forwarder.Forwarder
	index    int
	dispatch forwarder.Dispatch
	hasHead  bool
}

// engineCrash is the end of an engine; part is the one that caused it, empty for none.
type engineCrash struct {
	at   clock.Millis
	part string
}

// partCrashes is what the engines of such a cluster do and see.
type partCrashes struct {
	// bad are the parts that crash each engine which begins to answer them, since a time.
	bad     map[string]clock.Millis
	runs    map[string]map[string]*engineRun // runs are by server and attempt.
	crashes []engineCrash
	// received are the requests that reached engines, by bad part.
	received map[string][]contact
	began    map[string]bool // began are the requests that began to be answered at the first attempt.
}

func (c *cluster) crashOnParts() *partCrashes {
	c.parts = &partCrashes{bad: map[string]clock.Millis{}, runs: map[string]map[string]*engineRun{}, received: map[string][]contact{}, began: map[string]bool{}}
	return c.parts
}

// badPart returns the part of the request that crashes engines; empty if there is none.
func (p *partCrashes) badPart(now clock.Millis, parts []scheduler.Part) string {
	for _, part := range parts[:max(0, len(parts)-1)] {
		if since, ok := p.bad[part.ID]; ok && now >= since {
			return part.ID
		}
	}
	return ""
}

// sendParts sends a prompt with the shared parts and one of its own to an instance.
func (c *cluster) sendParts(i int, shared ...string) string {
	return c.sendPartsAs(i, fmt.Sprint("fingerprint-", len(c.requests)), shared...)
}

// sendPartsAs does the same with a fingerprint that requests may share.
func (c *cluster) sendPartsAs(i int, fingerprint string, shared ...string) string {
	id := fmt.Sprint("stream-", len(c.requests))
	r := &request{instance: i, kind: "stream", sentAt: c.now}
	c.requests[id] = r
	for _, part := range append(slices.Clone(shared), id) {
		r.parts = append(r.parts, scheduler.Part{ID: part, Tokens: 200})
	}
	if c.stopped[i] {
		r.finalActions, r.finalAction = 1, forwarder.DropRequest{}
		return id
	}
	c.step(i, forwarder.RequestArrived{Request: forwarder.Request{
		ID: id, Host: host, Method: "POST", Path: "/stream/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: fingerprint,
		Model: model, PromptTokens: int64(200 * len(r.parts)), OutputTokens: 20, PromptParts: r.parts,
	}})
	return id
}

// runAtEngine simulates an attempt at an engine that runs.
func (c *cluster) runAtEngine(i int, dispatch forwarder.Dispatch, s *server, r *request) {
	p, key := c.parts, fmt.Sprint(dispatch.Request, "/", dispatch.Attempt)
	bad := p.badPart(c.now, r.parts)
	if bad != "" {
		p.received[bad] = append(p.received[bad], contact{at: c.now, index: i, instance: c.instances[i], request: dispatch.Request, server: dispatch.Server})
	}
	if p.runs[dispatch.Server] == nil {
		p.runs[dispatch.Server] = map[string]*engineRun{}
	}
	run := &engineRun{instance: c.instances[i], index: i, dispatch: dispatch}
	p.runs[dispatch.Server][key] = run
	active := func() bool { return p.runs[dispatch.Server][key] == run }
	head := clock.Millis(20 + c.random.IntN(120))
	c.after(head, func() {
		if active() {
			run.hasHead = true
			r.runs++
			if bad != "" {
				c.crashEngine(s, bad)
			}
		}
	})
	c.afterPause(i, head+10, func() {
		if active() && r.lastDispatch.Attempt == dispatch.Attempt && r.finalActions == 0 {
			p.began[dispatch.Request] = p.began[dispatch.Request] || dispatch.Attempt == 1
			r.partDelivered = true
			c.stepOf(run, forwarder.StreamStarted{Request: dispatch.Request, Attempt: dispatch.Attempt})
		}
	})
	c.after(head+50+clock.Millis(c.random.IntN(300))+c.streamDuration, func() {
		if active() {
			delete(p.runs[dispatch.Server], key)
			c.stepOf(run, forwarder.AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: forwarder.OutcomeCompleted, Status: 200, Delivered: r.partDelivered, LastEventID: "9"})
		}
	})
}

// afterPause runs a function of an instance after a delay, not before the end of a pause.
func (c *cluster) afterPause(i int, delay clock.Millis, run func()) {
	c.after(delay, func() {
		if c.now < c.pausedUntil[i] {
			c.afterPause(i, c.pausedUntil[i].Since(c.now), run)
			return
		}
		run()
	})
}

// stepOf delivers an event about an attempt, unless its instance has started anew.
func (c *cluster) stepOf(run *engineRun, event forwarder.Event) {
	if c.instances[run.index] == run.instance {
		c.step(run.index, event)
	}
}

// crashEngine ends an engine with all its runs. It starts again later under another name, and
// its old entry is removed from the list.
func (c *cluster) crashEngine(s *server, part string) {
	s.down = true
	c.parts.crashes = append(c.parts.crashes, engineCrash{at: c.now, part: part})
	runs := c.parts.runs[s.entry.ID]
	delete(c.parts.runs, s.entry.ID)
	for _, key := range slices.Sorted(maps.Keys(runs)) {
		run, status := runs[key], 0
		if run.hasHead {
			status = 200
		}
		r := c.requests[run.dispatch.Request]
		c.after(1, func() {
			c.stepOf(run, forwarder.AttemptEnded{Request: run.dispatch.Request, Attempt: run.dispatch.Attempt, Outcome: forwarder.OutcomeInterrupted, Status: status, Delivered: r.partDelivered, LastEventID: "1"})
		})
	}
	tell := func(event forwarder.ServerChanged) {
		for i := range c.instances {
			c.step(i, event)
		}
	}
	c.after(1000, func() { tell(forwarder.ServerChanged{Entry: s.entry, Removed: true}) })
	c.after(clock.Millis(1500+c.random.IntN(1500)), func() {
		entry := s.entry
		entry.ID += "'"
		entry.StartedAt = int64(c.now)
		c.servers[entry.ID] = &server{entry: entry}
		tell(forwarder.ServerChanged{Entry: entry})
	})
}

// killEngine ends a random engine that no part has crashed.
func (c *cluster) killEngine() {
	if s := c.randomServer(); !s.down && s.entry.Service == "engines" {
		c.crashEngine(s, "")
	}
}

// crashesUnder returns the times at which engines ended under the part.
func (p *partCrashes) crashesUnder(part string) []clock.Millis {
	var times []clock.Millis
	for _, crash := range p.crashes {
		if crash.part == part {
			times = append(times, crash.at)
		}
	}
	return times
}

// stableWindow is the time for which an instance must have been undisturbed to count as in
// touch, and the time in which a part that crashes engines must be known everywhere.
const stableWindow = 3 * clock.Second

// receivedLate counts the requests with the part that reached engines later than the stable
// window after its fifth crash, from instances in touch.
func (c *cluster) receivedLate(part string) int {
	p := c.parts
	crashes, late := p.crashesUnder(part), 0
	if len(crashes) < 5 {
		return 0
	}
	for _, request := range p.received[part] {
		if request.at > crashes[4].Add(stableWindow) && request.at > c.disturbedUntil[request.index].Add(stableWindow) {
			late++
		}
	}
	return late
}

// requireLateBudget verifies that at most three requests with each part reached engines late.
func (c *cluster) requireLateBudget() {
	c.t.Helper()
	for part := range c.parts.bad {
		times := c.parts.crashesUnder(part)
		c.t.Logf("%s: %d engines ended, %d after the fifth, %d requests received late of %d", part, len(times), max(0, len(times)-5), c.receivedLate(part), len(c.parts.received[part]))
		require.LessOrEqual(c.t, c.receivedLate(part), 3, "requests with %s that reached engines late", part)
	}
}

// requireSingleConfirmations verifies that a request which is sent although one of its parts was
// convicted is sent only once.
func (c *cluster) requireSingleConfirmations() {
	c.t.Helper()
	for part, received := range c.parts.received {
		convictedAt := clock.Millis(0)
		for _, line := range c.logLines {
			var at clock.Millis
			if strings.Contains(line, "partConvicted") && strings.Contains(line, fmt.Sprintf("part=%016x", scheduler.PartKey("", part))) {
				_, err := fmt.Sscanf(line, "%dms", &at)
				require.NoError(c.t, err)
				convictedAt = max(convictedAt, at)
			}
		}
		attempts := map[string]int{}
		for _, request := range received {
			if convictedAt > 0 && c.requests[request.request].sentAt > convictedAt.Add(stableWindow) {
				attempts[request.request]++
				require.Equal(c.t, 1, attempts[request.request], "%s", c.logOf(request.request))
			}
		}
	}
}

// TestAnsweredRequestIsNotBlocked repeats a request whose engine ends while it answers it,
// because of requests at another instance. It must not be blocked as one that crashes engines.
func TestAnsweredRequestIsNotBlocked(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	c.streamDuration = clock.Second
	p := c.crashOnParts()
	for _, id := range c.serverIDs() {
		if c.servers[id].entry.Service == "engines" && id != "e0" {
			for i := range c.instances {
				c.step(i, forwarder.ServerChanged{Entry: c.servers[id].entry, Removed: true})
			}
		}
	}
	for n := range 4 {
		id := c.sendPartsAs(0, "same", "guide")
		require.Positive(t, c.requests[id].attempts, "%s is sent\n%s", id, c.logOf(id))
		for !p.began[id] {
			c.run(5)
		}
		bad := fmt.Sprint("bad-", n)
		p.bad[bad] = c.now
		c.sendParts(1, bad)
		c.run(4 * clock.Second)
		require.Len(t, p.crashes, n+1)
	}
}
