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

// Times of a fake backend server.
const (
	firstTokenTime = 5 * clock.Millisecond
	answerTime     = 20 * clock.Millisecond
	// passedTokens is how much of a stream has passed when it is cut.
	passedTokens = 3
	// crashTime is when a server that a request crashed is back.
	crashTime = 300 * clock.Millisecond
)

// Server is a fake backend server. It records what it runs.
type Server struct {
	Up bool
	// Runs counts runs by the request's fingerprint, RunsOf by its identifier.
	Runs   map[string]int
	RunsOf map[string]int
	// CutBefore is how many of the next attempts are cut before they run,
	// CutAfter how many after.
	CutBefore int
	CutAfter  int
	// Crossed is how many of the next answers come as another attempt's first.
	Crossed int
	// Poison is the fingerprint of a request that crashes the server; Crashes
	// counts that.
	Poison  string
	Crashes int

	fleet   *Fleet
	entry   objectstore.Instance
	running map[string]*serverAttempt
	// restarted tells that the server has crashed, so that it has lost attempts.
	restarted bool
}

// serverAttempt is an attempt that runs at a server.
type serverAttempt struct {
	node       *Node
	dispatch   action.Dispatch
	firstToken bool
	ended      bool
}

// Crash ends the server and what it runs; Start brings it back.
func (s *Server) Crash() {
	s.Up = false
	s.restarted = true
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		s.cut(s.running[id])
	}
	s.running = map[string]*serverAttempt{}
}

// Start brings a crashed server back.
func (s *Server) Start() {
	s.Up = true
}

// Leave marks the server as leaving on the instance list.
func (s *Server) Leave() {
	entry := s.entry
	entry.State = objectstore.StateLeaving
	s.fleet.Platform.Store.Register(s.fleet.Now, entry)
}

func (s *Server) cut(a *serverAttempt) {
	reach := retrier.Sent
	passed := int64(0)
	if a.firstToken && s.entry.Role == objectstore.RoleEngine {
		reach = retrier.Streaming
		passed = passedTokens
	}
	s.finish(a, event.AttemptFailed{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Progress: reach, Failure: retrier.ConnectionLost, DeliveredTokens: passed})
}

// finish sends the end of an attempt back, once.
func (s *Server) finish(a *serverAttempt, outcome event.Event) {
	if a.ended {
		return
	}
	a.ended = true
	delete(s.running, a.dispatch.Attempt)
	a.node.deliver(ServerLatency, outcome)
}

// dispatch carries an attempt to its server.
func (f *Fleet) dispatch(n *Node, dispatch action.Dispatch) {
	server := f.Servers[dispatch.Server]
	f.After(ServerLatency, func() {
		failed := event.AttemptFailed{Request: dispatch.Request, Attempt: dispatch.Attempt, Progress: retrier.NotSent, Failure: retrier.DialRefused}
		if f.isCut(n.domain, server.entry.Domain) {
			failed.Failure = retrier.Unreachable
		}
		if !server.Up || failed.Failure == retrier.Unreachable {
			n.deliver(ServerLatency, failed)
			return
		}
		if dispatch.ResumeAfter >= 0 {
			server.resume(n, failed)
			return
		}
		server.take(&serverAttempt{node: n, dispatch: dispatch})
	})
}

// resume answers a wish to go on with a cut attempt: it is gone, since a cut ends
// an attempt here.
func (s *Server) resume(n *Node, failed event.AttemptFailed) {
	failed.Progress = retrier.Sent
	failed.Failure = retrier.ConnectionLost
	if s.restarted {
		failed.Failure = retrier.AttemptNotFound
	}
	n.deliver(ServerLatency, failed)
}

// take runs an attempt.
func (s *Server) take(a *serverAttempt) {
	s.running[a.dispatch.Attempt] = a
	if s.CutBefore > 0 {
		s.CutBefore--
		s.cut(a)
		return
	}
	s.run(a)
	if s.Poison != "" && s.fingerprintOf(a) == s.Poison {
		s.fleet.After(firstTokenTime, func() { s.crashByPoison(a) })
		return
	}
	if s.CutAfter > 0 {
		s.CutAfter--
		s.cut(a)
		return
	}
	s.fleet.After(firstTokenTime, func() { s.begin(a) })
	s.fleet.After(answerTime, func() { s.answer(a) })
}

func (s *Server) run(a *serverAttempt) {
	s.RunsOf[a.dispatch.Request]++
	if request, ok := s.fleet.request(a.dispatch.Request); ok {
		s.Runs[request.Arrival.Fingerprint]++
	}
}

func (s *Server) fingerprintOf(a *serverAttempt) string {
	if request, ok := s.fleet.request(a.dispatch.Request); ok {
		return request.Arrival.Fingerprint
	}
	return ""
}

// crashByPoison crashes the server, once for all poison that runs there, and
// brings it back a little later.
func (s *Server) crashByPoison(a *serverAttempt) {
	if !s.Up || a.ended {
		return
	}
	s.Crashes++
	s.Crash()
	s.fleet.After(crashTime, s.Start)
}

// cancelAttempt ends an attempt at its router's word, after the way to its server.
func (f *Fleet) cancelAttempt(attempt string) {
	f.After(ServerLatency, func() {
		for _, server := range f.Servers {
			if a, ok := server.running[attempt]; ok {
				a.ended = true
				delete(server.running, attempt)
			}
		}
	})
}

// usedTokens returns what an engine counts for the request: all of its prompt
// and half of what it may generate.
func (s *Server) usedTokens(id string) int64 {
	if request, ok := s.fleet.request(id); ok && s.entry.Role == objectstore.RoleEngine {
		return request.Arrival.PromptTokens + request.Arrival.MaxTokens/2
	}
	return 0
}

func (s *Server) begin(a *serverAttempt) {
	if a.ended || s.entry.Role != objectstore.RoleEngine {
		return
	}
	a.firstToken = true
	a.node.deliver(ServerLatency, event.FirstToken{Request: a.dispatch.Request, Attempt: a.dispatch.Attempt})
}

func (s *Server) answer(a *serverAttempt) {
	if a.ended {
		return
	}
	if s.fleet.isCut(a.node.domain, s.entry.Domain) {
		s.cut(a)
		return
	}
	outcome := event.AttemptCompleted{CachedTokens: -1, UsedTokens: s.usedTokens(a.dispatch.Request), Request: a.dispatch.Request, Attempt: a.dispatch.Attempt, Status: action.StatusOK, ContentType: "text/plain", Body: []byte("ran " + a.dispatch.Request)}
	if s.Crossed > 0 {
		s.Crossed--
		crossed := outcome
		crossed.Attempt = "another"
		crossed.Body = []byte("crossed")
		a.node.deliver(ServerLatency, crossed)
	}
	s.finish(a, outcome)
}

// TotalRuns returns how often the requests with the fingerprint ran, at all
// servers together.
func (f *Fleet) TotalRuns(fingerprint string) int {
	total := 0
	for _, server := range f.Servers {
		total += server.Runs[fingerprint]
	}
	return total
}

// TotalRunsOf returns how often the request ran, at all servers together.
func (f *Fleet) TotalRunsOf(request string) int {
	total := 0
	for _, server := range f.Servers {
		total += server.RunsOf[request]
	}
	return total
}
