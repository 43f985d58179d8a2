package testkit

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/retrier"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Timing of a fake backend server.
const (
	// firstTokenTime and responseTime are the times from the start of an attempt to
	// the first token and to the complete response.
	firstTokenTime = 5 * clock.Millisecond
	responseTime   = 20 * clock.Millisecond
	// deliveredTokens is the number of tokens delivered before a stream is
	// interrupted.
	deliveredTokens = 3
	// restartDelay is the time after which a server crashed by a request is up again.
	restartDelay = 300 * clock.Millisecond
)

// Server is a fake backend server. It counts the requests that it runs.
type Server struct {
	Up bool
	// RunsByFingerprint counts the runs by the request's fingerprint, RunsByRequest
	// by its identifier.
	RunsByFingerprint map[string]int
	RunsByRequest     map[string]int
	// DisconnectBeforeRun is the number of next attempts whose connection is lost
	// before they run, DisconnectAfterRun of those after they have run.
	DisconnectBeforeRun int
	DisconnectAfterRun  int
	// MismatchedResponses is the number of next responses that are preceded by a
	// mismatched response: one that carries another attempt's identifier.
	MismatchedResponses int
	// PoisonFingerprint is the fingerprint of requests that crash the server; Crashes
	// counts these crashes.
	PoisonFingerprint string
	Crashes           int
	// Silent makes the server run attempts without ever responding.
	Silent bool
	// FirstTokenDelay and ResponseDelay are added to the usual times of a response.
	FirstTokenDelay clock.Millis
	ResponseDelay   clock.Millis

	cluster *Cluster
	entry   objectstore.Instance
	running map[string]*runningAttempt // running has the attempts by identifier.
	// crashed reports that the server has crashed at least once and so has lost
	// attempts.
	crashed bool
}

// runningAttempt is an attempt that runs at a server.
type runningAttempt struct {
	instance       *Instance
	dispatch       action.Dispatch
	firstTokenSent bool
	ended          bool
}

// Crash stops the server and fails its running attempts. Start starts it again.
func (s *Server) Crash() {
	s.Up = false
	s.crashed = true
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		s.disconnect(s.running[id])
	}
	s.running = map[string]*runningAttempt{}
}

// Start starts a crashed server again.
func (s *Server) Start() {
	s.Up = true
}

// MarkLeaving marks the server as leaving on the instance list.
func (s *Server) MarkLeaving() {
	entry := s.entry
	entry.State = objectstore.StateLeaving
	s.cluster.Platform.Store.Register(s.cluster.Now, entry)
}

// disconnect fails the attempt with a lost connection.
func (s *Server) disconnect(a *runningAttempt) {
	progress := retrier.Sent
	delivered := int64(0)
	if a.firstTokenSent && s.entry.Role == objectstore.RoleEngine {
		progress = retrier.Streaming
		delivered = deliveredTokens
	}
	s.finish(a, event.AttemptFailed{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Progress: progress, Failure: retrier.ConnectionLost, DeliveredTokens: delivered})
}

// finish sends the outcome of an attempt to its instance, at most once.
func (s *Server) finish(a *runningAttempt, outcome event.Event) {
	if a.ended {
		return
	}
	a.ended = true
	delete(s.running, a.dispatch.Attempt)
	a.instance.deliver(ServerLatency, outcome)
}

// dispatch sends an attempt to its server, or fails it if the server is down or a
// partition separates them.
func (c *Cluster) dispatch(instance *Instance, dispatch action.Dispatch) {
	server := c.Servers[dispatch.Server]
	c.AfterFunc(ServerLatency, func() {
		failed := event.AttemptFailed{Request: dispatch.Request, Attempt: dispatch.Attempt, Progress: retrier.NotSent, Failure: retrier.DialRefused}
		if c.isPartitioned(instance.domain, server.entry.Domain) {
			failed.Failure = retrier.Unreachable
		}
		if !server.Up || failed.Failure == retrier.Unreachable {
			instance.deliver(ServerLatency, failed)
			return
		}
		if dispatch.ResumeAfter >= 0 {
			server.resume(instance, failed)
			return
		}
		server.startAttempt(&runningAttempt{instance: instance, dispatch: dispatch})
	})
}

// resume fails a request to resume an interrupted stream: this server keeps no
// attempt whose connection was lost. It reports AttemptNotFound if it has crashed
// before, and a lost connection otherwise.
func (s *Server) resume(instance *Instance, failed event.AttemptFailed) {
	failed.Progress = retrier.Sent
	failed.Failure = retrier.ConnectionLost
	if s.crashed {
		failed.Failure = retrier.AttemptNotFound
	}
	instance.deliver(ServerLatency, failed)
}

// startAttempt starts an attempt and schedules its result.
func (s *Server) startAttempt(a *runningAttempt) {
	s.running[a.dispatch.Attempt] = a
	if s.DisconnectBeforeRun > 0 {
		s.DisconnectBeforeRun--
		s.disconnect(a)
		return
	}
	s.countRun(a)
	if s.PoisonFingerprint != "" && s.requestFingerprint(a) == s.PoisonFingerprint {
		s.cluster.AfterFunc(firstTokenTime, func() { s.crashOnPoison(a) })
		return
	}
	if s.DisconnectAfterRun > 0 {
		s.DisconnectAfterRun--
		s.disconnect(a)
		return
	}
	if s.Silent {
		return
	}
	s.cluster.AfterFunc(firstTokenTime+s.FirstTokenDelay, func() { s.sendFirstToken(a) })
	s.cluster.AfterFunc(responseTime+s.FirstTokenDelay+s.ResponseDelay, func() { s.sendResponse(a) })
}

// countRun counts a run of the attempt's request.
func (s *Server) countRun(a *runningAttempt) {
	s.RunsByRequest[a.dispatch.Request]++
	if request, ok := s.cluster.request(a.dispatch.Request); ok {
		s.RunsByFingerprint[request.Arrival.Fingerprint]++
	}
}

func (s *Server) requestFingerprint(a *runningAttempt) string {
	if request, ok := s.cluster.request(a.dispatch.Request); ok {
		return request.Arrival.Fingerprint
	}
	return ""
}

// crashOnPoison crashes the server and starts it again after restartDelay. Several
// poison requests that run at the same time cause one crash.
func (s *Server) crashOnPoison(a *runningAttempt) {
	if !s.Up || a.ended {
		return
	}
	s.Crashes++
	s.Crash()
	s.cluster.AfterFunc(restartDelay, s.Start)
}

// cancelAttempt cancels an attempt that its router no longer needs, after the
// latency to the server.
func (c *Cluster) cancelAttempt(attempt string) {
	c.AfterFunc(ServerLatency, func() {
		for _, server := range c.Servers {
			if a, ok := server.running[attempt]; ok {
				a.ended = true
				delete(server.running, attempt)
			}
		}
	})
}

// usedTokens returns the tokens that an engine reports for the request: its prompt
// and half of the maximum that it may generate. It is 0 for a plain service.
func (s *Server) usedTokens(id string) int64 {
	if request, ok := s.cluster.request(id); ok && s.entry.Role == objectstore.RoleEngine {
		return request.Arrival.PromptTokens + request.Arrival.MaxTokens/2
	}
	return 0
}

func (s *Server) sendFirstToken(a *runningAttempt) {
	if a.ended || s.entry.Role != objectstore.RoleEngine {
		return
	}
	a.firstTokenSent = true
	a.instance.deliver(ServerLatency, event.FirstToken{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt})
}

func (s *Server) sendResponse(a *runningAttempt) {
	if a.ended {
		return
	}
	if s.cluster.isPartitioned(a.instance.domain, s.entry.Domain) {
		s.disconnect(a)
		return
	}
	outcome := event.AttemptCompleted{CachedTokens: -1, UsedTokens: s.usedTokens(a.dispatch.Request), Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Status: action.StatusOK, ContentType: "text/plain", Body: []byte("ran " + a.dispatch.Request)}
	if s.MismatchedResponses > 0 {
		s.MismatchedResponses--
		mismatched := outcome
		mismatched.Attempt = "another"
		mismatched.Body = []byte("mismatched")
		a.instance.deliver(ServerLatency, mismatched)
	}
	s.finish(a, outcome)
}

// TotalRunsByFingerprint returns the number of runs, on all servers, of requests
// with the fingerprint.
func (c *Cluster) TotalRunsByFingerprint(fingerprint string) int {
	total := 0
	for _, server := range c.Servers {
		total += server.RunsByFingerprint[fingerprint]
	}
	return total
}

// TotalRunsByRequest returns the number of runs of the request on all servers.
func (c *Cluster) TotalRunsByRequest(request string) int {
	total := 0
	for _, server := range c.Servers {
		total += server.RunsByRequest[request]
	}
	return total
}
