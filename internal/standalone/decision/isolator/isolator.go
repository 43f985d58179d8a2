// Package isolator gives suspects the backend servers where they may run, so that
// no two suspects share a server. One instance of each failure domain does this
// for the domain.
//
// # Usage
//
//	isolation := isolator.New(limit)
//	isolation.Ask(now, ask)
//	for _, grant := range isolation.Grants(now, mayRun, serversFor) { ... }
//	isolation.End(request)
package isolator

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// runFor is after how long a run counts as ended though nobody said so.
	runFor = clock.Minute
	// explainFor is how long after its end a run still explains a crash.
	explainFor = 2 * clock.Second
)

// RunRequest is a suspect's wish to run.
type RunRequest struct {
	RequestID   string
	Instance    string // From is the instance that asks.
	Model       string
	Fingerprint string
	RequestedAt clock.Millis
}

// Grant is the permission to run at a server.
type Grant struct {
	RunRequest
	Server string
}

// run is a suspect's run at a server.
type run struct {
	fingerprint string
	server      string
	began       clock.Millis
	ended       clock.Millis // ended is 0 while it runs.
}

// Isolator is the runs of one failure domain's suspects. It is not safe for
// concurrent use.
type Isolator struct {
	waiting []RunRequest
	runs    map[string]run // runs are by request.
	limit   int
}

// New returns an Isolator with at most the given number of waiting suspects.
func New(limit int) *Isolator {
	return &Isolator{runs: map[string]run{}, limit: limit}
}

// Enqueue queues a wish, once for each request. It reports false when too many wait
// or the request runs already.
func (i *Isolator) Enqueue(ask RunRequest) bool {
	if _, runs := i.runs[ask.RequestID]; runs || len(i.waiting) >= i.limit {
		return false
	}
	if slices.ContainsFunc(i.waiting, func(a RunRequest) bool { return a.RequestID == ask.RequestID }) {
		return true
	}
	i.waiting = append(i.waiting, ask)
	return true
}

// GrantReady returns the wishes that can be granted now, the oldest first. MayRun
// reports whether it is the wish's time; servers returns the names of the servers that may run it, the best first.
func (i *Isolator) GrantReady(now clock.Millis, mayRun func(RunRequest) bool, servers func(RunRequest) []string) []Grant {
	i.expire(now)
	var grants []Grant
	i.waiting = slices.DeleteFunc(i.waiting, func(ask RunRequest) bool {
		if !mayRun(ask) {
			return false
		}
		server, ok := i.free(ask, servers(ask))
		if !ok {
			return false
		}
		i.runs[ask.RequestID] = run{fingerprint: ask.Fingerprint, server: server, began: now}
		grants = append(grants, Grant{RunRequest: ask, Server: server})
		return true
	})
	return grants
}

// free returns the first server without a suspect. A fingerprint runs once at a
// time.
func (i *Isolator) free(ask RunRequest, servers []string) (string, bool) {
	busy := map[string]bool{}
	for _, run := range i.runs {
		if run.ended != 0 {
			continue
		}
		if run.fingerprint == ask.Fingerprint {
			return "", false
		}
		busy[run.server] = true
	}
	at := slices.IndexFunc(servers, func(server string) bool { return !busy[server] })
	if at < 0 {
		return "", false
	}
	return servers[at], true
}

// EndRun ends the request's run.
func (i *Isolator) EndRun(now clock.Millis, request string) {
	if run, ok := i.runs[request]; ok {
		run.ended = now
		i.runs[request] = run
	}
}

// ExplainsCrash reports whether a crash of the server is explained by a suspect that
// runs there, or did until lately.
func (i *Isolator) ExplainsCrash(now clock.Millis, server string) bool {
	i.expire(now)
	for _, run := range i.runs {
		if run.server == server {
			return true
		}
	}
	return false
}

func (i *Isolator) expire(now clock.Millis) {
	maps.DeleteFunc(i.runs, func(_ string, run run) bool {
		if run.ended != 0 {
			return now.Since(run.ended) > explainFor
		}
		return now.Since(run.began) > runFor
	})
	i.waiting = slices.DeleteFunc(i.waiting, func(ask RunRequest) bool { return now.Since(ask.RequestedAt) > runFor })
}
