package forwarder_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// dispatch simulates a server that accepts or fails the request.
func (c *cluster) dispatch(i int, dispatch forwarder.Dispatch) {
	r := c.requests[dispatch.Request]
	r.attempts++
	r.lastDispatch = dispatch
	if dispatch.HoldsEvents {
		r.heldFor = dispatch.Attempt
	} else {
		r.owner = dispatch.Attempt
	}
	s, known := c.servers[dispatch.Server]
	require.True(c.t, known)
	require.Zero(c.t, r.finalActions, "%s is dispatched after its final response", dispatch.Request)
	if r.weights == nil {
		r.weights = map[int]int64{}
	}
	r.weights[dispatch.Attempt] = cmp.Or(dispatch.WeightsVersion, s.entry.WeightVersions[model])
	c.checkDispatch(i, dispatch, s, r)
	if c.rollout != nil {
		c.rollout.record(i, dispatch, s, r)
	}
	if !dispatch.Via.Direct() {
		c.dispatchThrough(i, dispatch, s, r)
		return
	}
	c.serve(i, i, dispatch, s, r, func() {})
}

// serve simulates the server's response to an instance's request, on a connection from the
// instance at index from. At its end, closed is called.
func (c *cluster) serve(i, from int, dispatch forwarder.Dispatch, s *server, r *request, closed func()) {
	startedAt, interrupted := c.now, false
	cut, isCut := c.cutFrom(from, dispatch.Server)
	sender := c.instances[from]
	end := func(delay clock.Millis, outcome forwarder.Outcome, status int) {
		refused := outcome == forwarder.OutcomeNotSent && (s.down || isCut)
		c.afterHold(delay, r, dispatch.Attempt, func() {
			ended := forwarder.AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: outcome, Status: status, Delivered: r.partDelivered, LastEventID: "1", ConnectionRefused: refused}
			if interrupted || from != i && (c.instances[from] != sender || c.stopped[from] || (c.cut != nil && c.cut(i, from))) {
				ended = forwarder.AttemptEnded{Request: ended.Request, Attempt: ended.Attempt, Outcome: forwarder.OutcomeInterrupted, Delivered: ended.Delivered, LastEventID: ended.LastEventID}
			}
			c.endAttempt(from, dispatch.Server, ended, startedAt, func(ended forwarder.AttemptEnded) {
				closed()
				c.step(i, ended)
			})
		})
	}
	if isCut {
		var delay clock.Millis
		delay, isCut = cut.failConnect()
		end(delay, forwarder.OutcomeNotSent, 0)
		return
	}
	switch {
	case s.down:
		end(5, forwarder.OutcomeNotSent, 0)
		return
	case s.queueFull:
		end(connectTimeout, forwarder.OutcomeNotSent, 0)
		return
	case dispatch.WeightsVersion != 0 && s.entry.WeightVersions[model] != dispatch.WeightsVersion:
		end(5, forwarder.OutcomeMisdirected, 421)
		return
	}
	if c.poisonPrefix != "" && strings.HasPrefix(dispatch.Request, c.poisonPrefix) {
		r.runs++
		c.after(15, func() { s.down = true })
		end(20, forwarder.OutcomeInterrupted, 0)
		return
	}
	if c.parts != nil && dispatch.HasPrompt {
		c.runAtEngine(i, dispatch, s, r)
		return
	}
	if from != i {
		c.sendNotice(from, s, dispatch.StartedAt)
	}
	if c.sendNotice(i, s, dispatch.StartedAt) {
		end(1, forwarder.OutcomeDeclined, 503)
		return
	}
	c.after(2, func() {
		c.nameBrittleness(i, s, dispatch.StartedAt)
		if from != i {
			c.nameBrittleness(from, s, dispatch.StartedAt)
		}
	})
	if s.room != nil {
		if !c.enterRoom(s) {
			end(2, forwarder.OutcomeDeclined, 503)
			return
		}
		generation := s.room.generation
		leave := end
		end = func(delay clock.Millis, outcome forwarder.Outcome, status int) {
			c.after(max(1, delay-1), func() { interrupted = !c.leaveRoom(s, generation, delay) })
			leave(delay, outcome, status)
		}
	}
	c.after(15, func() { c.nameLimit(i, s, dispatch) })
	draw := c.random.IntN(100)
	for _, outcome := range []forwarder.Outcome{forwarder.OutcomeNotSent, forwarder.OutcomeDeclined, forwarder.OutcomeInterrupted, forwarder.OutcomeCorrupted} {
		if draw -= c.faultPercents[outcome]; draw < 0 {
			if outcome == forwarder.OutcomeInterrupted || outcome == forwarder.OutcomeCorrupted {
				r.runs++
				if dispatch.Stream && c.random.IntN(2) == 0 {
					c.startStream(i, from, dispatch, r)
				}
			}
			end(20+clock.Millis(c.random.IntN(100)), outcome, 503)
			return
		}
	}
	var slower clock.Millis
	if c.rollout != nil && s.entry.SoftwareVersion == c.rollout.order.Target {
		var failed bool
		if failed, slower = c.rollout.answer(r.kind); failed {
			r.runs++
			end(20+clock.Millis(c.random.IntN(100)), forwarder.OutcomeCompleted, 500)
			return
		}
	}
	var queue clock.Millis
	if dispatch.Stream || s.entry.Service == "engines" {
		queue = s.queue
	}
	if queue > dispatch.ServerTimeout {
		end(dispatch.ServerTimeout, forwarder.OutcomeDeclined, 503)
		return
	}
	c.runAfterQueue(i, queue, dispatch, r)
	s.addToCache(dispatch.CacheSalt, r.parts, c.cacheFaultPercent > 0)
	if dispatch.Stream && c.eventGap != nil {
		c.runPacedStream(i, from, dispatch, s, r, closed)
		return
	}
	if dispatch.Stream {
		c.startStreamAfter(slower, i, from, dispatch, r)
	}
	status := 200
	if c.random.IntN(20) == 0 && !dispatch.Stream {
		status = 500
	}
	delay := 20 + clock.Millis(c.random.IntN(200))
	if dispatch.Stream && c.streamDuration > 0 {
		delay = c.streamDuration
	}
	delay += queue
	switch {
	// Engines stop work at the deadline that they were given.
	case delay <= dispatch.ServerTimeout:
	case dispatch.Stream:
		end(dispatch.ServerTimeout, forwarder.OutcomeInterrupted, 200)
		return
	case queue > 0:
		end(dispatch.ServerTimeout, forwarder.OutcomeCompleted, 504)
		return
	}
	end(delay+slower+c.firstEventDelays[r.kind], forwarder.OutcomeCompleted, status)
}

// runAfterQueue counts a run of the request when it begins: an engine drops a request that is cancelled
// while it waits.
func (c *cluster) runAfterQueue(i int, queue clock.Millis, dispatch forwarder.Dispatch, r *request) {
	if queue == 0 {
		r.runs++
		return
	}
	c.after(queue, func() {
		if r.finalActions > 0 || slices.Contains(r.cancelled, dispatch.Attempt) {
			return
		}
		r.runs++
		if !dispatch.Stream {
			c.checkBeginning(i, dispatch, r)
		}
	})
}

func (c *cluster) startStream(i, from int, dispatch forwarder.Dispatch, r *request) {
	c.startStreamAfter(0, i, from, dispatch, r)
}

// startStreamAfter does the same later, for a slow server.
func (c *cluster) startStreamAfter(slower clock.Millis, i, from int, dispatch forwarder.Dispatch, r *request) {
	c.after(10+slower+c.firstEventDelays[r.kind]+c.servers[dispatch.Server].queue, func() {
		c.checkBeginning(i, dispatch, r)
		cut, isCut := c.cutFrom(from, dispatch.Server)
		if r.takeOver(dispatch.Attempt) && r.finalActions == 0 && !(isCut && cut.breaks()) {
			r.partDelivered = true
			r.receiveEvent(c.servers[dispatch.Server])
			c.step(i, forwarder.StreamStarted{Request: dispatch.Request, Attempt: dispatch.Attempt})
		}
	})
}

// takeOver reports whether the attempt passes its first event on. It ends the wait of another one's.
func (r *request) takeOver(attempt int) bool {
	if r.heldFor == attempt {
		r.owner, r.heldFor = attempt, 0
	}
	return r.owner == attempt
}

// endHold lets the events of the current attempt go on if they wait for the given one.
func (r *request) endHold(attempt int) {
	if r.heldFor == attempt {
		r.heldFor = 0
	}
}

// afterHold calls run after the delay, and not while the attempt's events wait for another attempt.
func (c *cluster) afterHold(delay clock.Millis, r *request, attempt int, run func()) {
	c.after(delay, func() {
		if r.heldFor != 0 && r.owner == attempt {
			c.afterHold(5, r, attempt, run)
			return
		}
		run()
	})
}

// resumeGrace is the time after a pause in which an instance may act on outdated state.
const resumeGrace = 300 * clock.Millisecond

// checkDispatch verifies the invariants of each attempt.
func (c *cluster) checkDispatch(i int, dispatch forwarder.Dispatch, s *server, r *request) {
	switch {
	case len(s.entry.WeightVersions) == 0:
		require.Zero(c.t, dispatch.WeightsVersion)
		require.Equal(c.t, dispatch.Timeout, dispatch.ServerTimeout)
	case len(s.entry.WeightVersions) == 1 || c.omits != "model":
		require.NotZero(c.t, dispatch.WeightsVersion, "%s does not state the version of its weights", dispatch.Request)
	}
	if c.now.Since(c.pausedUntil[i]) < resumeGrace {
		// The events of the pause are only being delivered now.
		return
	}
	if s.drainingSince > 0 && !c.storeCutOff[i] {
		require.Less(c.t, c.now.Since(s.drainingSince), 200*clock.Millisecond, "%s is dispatched to a draining server", dispatch.Request)
	}
	if weights := r.weights[dispatch.Attempt]; weights != 0 {
		for version, publishedAt := range c.publishedAt {
			if version > weights {
				require.Less(c.t, c.now.Since(publishedAt), 6*clock.Second, "%s is dispatched to weights %d although %d were published", dispatch.Request, weights, version)
			}
		}
	}
	if dispatch.HasPrompt {
		require.Contains(c.t, dispatch.CacheSalt, fmt.Sprint(model, "@", dispatch.WeightsVersion, "/"))
	} else {
		require.Empty(c.t, dispatch.CacheSalt+dispatch.FetchAddress+dispatch.SaveAddress)
	}
	require.Positive(c.t, dispatch.Timeout)
	require.Equal(c.t, "press", dispatch.Team)
}

// checkBeginning verifies that an engine begins no request on weights that are too old, unless the
// request's instance was disturbed.
func (c *cluster) checkBeginning(i int, dispatch forwarder.Dispatch, r *request) {
	over := r.finalActions > 0 || slices.Contains(r.cancelled, dispatch.Attempt)
	weights := r.weights[dispatch.Attempt]
	if over || weights == 0 || c.stopped[i] || c.now.Since(max(c.pausedUntil[i], c.disturbedUntil[i])) < resumeGrace {
		return
	}
	for version, publishedAt := range c.publishedAt {
		if version > weights {
			require.LessOrEqual(c.t, c.now.Since(publishedAt), c.settings[i].Bounds.MaxWeightsAge, "%s begins on weights %d although %d were published\n%s", dispatch.Request, weights, version, c.logOf(dispatch.Request))
		}
	}
}

func (c *cluster) recordFinalAction(action forwarder.Action) {
	var id string
	switch action := action.(type) {
	case forwarder.ForwardResponse:
		id = action.Request
	case forwarder.Refuse:
		id = action.Request
	case forwarder.AbortStream:
		id = action.Request
	case forwarder.DropRequest:
		id = action.Request
	}
	r := c.requests[id]
	r.finalActions++
	r.finalAction = action
}

// sendRequest sends a request of the kind to an instance.
func (c *cluster) sendRequest(i int, kind string) string {
	id := fmt.Sprint(kind, "-", len(c.requests))
	c.requests[id] = &request{instance: i, kind: kind, sentAt: c.now}
	arrived := forwarder.Request{ID: id, Host: host, Method: "POST", Path: "/" + kind + "/x", Key: secret.New(goodKey), CallerTimeout: cmp.Or(c.timeout, 2500), Fingerprint: id}
	if kind != "filing" && kind != "lookup" {
		arrived.Model, arrived.PromptTokens, arrived.OutputTokens = model, 1000, 20
		arrived.PromptParts = []scheduler.Part{{ID: "a", Tokens: 400}, {ID: fmt.Sprint("b", len(c.requests)%c.subjects), Tokens: 300}, {ID: id, Tokens: 300}}
	}
	if c.resumed != "" {
		arrived.ResumedRequest, arrived.LastEventID = c.resumed, "1"
	}
	switch {
	case kind == "lookup":
		// Its servers have no weights.
		arrived.Model = model
	case c.omits == "model":
		arrived.Model = ""
		fallthrough
	case c.omits != "":
		arrived.PromptTokens, arrived.OutputTokens, arrived.PromptParts = 0, 0, nil
	}
	c.requests[id].parts = arrived.PromptParts
	if c.stopped[i] {
		c.requests[id].finalActions = 1
		c.requests[id].finalAction = forwarder.DropRequest{}
		return id
	}
	c.step(i, forwarder.RequestArrived{Request: arrived})
	return id
}
