// Package isolator schedules suspects, requests that may have crashed a backend
// server, so that no two suspects run on one server at a time. One instance of each
// failure domain does this for the domain.
//
// # Usage
//
//	isolation := isolator.New(maxWaiting)
//	queued := isolation.Enqueue(request)
//	for _, grant := range isolation.GrantReady(now, mayRun, servers) { ... }
//	isolation.EndRun(now, request.RequestID)
package isolator

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// runTimeout is the time after which a run is removed without a report of its
	// end, and after which a request to run is removed from the queue.
	runTimeout = clock.Minute
	// explainWindow is the time after the end of a run in which it still explains a crash.
	explainWindow = 2 * clock.Second
)

// RunRequest is a request to run a suspect.
type RunRequest struct {
	RequestID   string
	Instance    string // Instance is the name of the requesting instance.
	Model       string
	Fingerprint string
	RequestedAt clock.Millis
}

// Grant is the permission to run a suspect on a server.
type Grant struct {
	RunRequest
	Server string
}

// run is the run of a suspect on a server.
type run struct {
	fingerprint string
	server      string
	startedAt   clock.Millis
	endedAt     clock.Millis // endedAt is 0 during the run.
}

// Isolator has the queue and the runs of one failure domain's suspects. It is not
// safe for concurrent use.
type Isolator struct {
	waiting    []RunRequest
	runs       map[string]run // runs are by request identifier.
	maxWaiting int
}

// New returns an Isolator that queues at most maxWaiting requests.
func New(maxWaiting int) *Isolator {
	return &Isolator{runs: map[string]run{}, maxWaiting: maxWaiting}
}

// Enqueue queues a request to run, at most once for each suspect. It returns false
// when the queue is full or the suspect has a run that is not yet removed.
func (i *Isolator) Enqueue(request RunRequest) bool {
	if _, running := i.runs[request.RequestID]; running || len(i.waiting) >= i.maxWaiting {
		return false
	}
	if slices.ContainsFunc(i.waiting, func(a RunRequest) bool { return a.RequestID == request.RequestID }) {
		return true
	}
	i.waiting = append(i.waiting, request)
	return true
}

// GrantReady grants the queued requests that can run now, the oldest first. mayRun
// reports whether a request may run yet; servers returns the names of the servers
// that may run it, in order of preference.
func (i *Isolator) GrantReady(now clock.Millis, mayRun func(RunRequest) bool, servers func(RunRequest) []string) []Grant {
	i.expire(now)
	var grants []Grant
	i.waiting = slices.DeleteFunc(i.waiting, func(request RunRequest) bool {
		if !mayRun(request) {
			return false
		}
		server, ok := i.selectServer(request, servers(request))
		if !ok {
			return false
		}
		i.runs[request.RequestID] = run{fingerprint: request.Fingerprint, server: server, startedAt: now}
		grants = append(grants, Grant{RunRequest: request, Server: server})
		return true
	})
	return grants
}

// selectServer returns the first server on which no suspect runs. It selects none
// while a suspect with the same fingerprint runs.
func (i *Isolator) selectServer(request RunRequest, servers []string) (string, bool) {
	busy := map[string]bool{}
	for _, active := range i.runs {
		if active.endedAt != 0 {
			continue
		}
		if active.fingerprint == request.Fingerprint {
			return "", false
		}
		busy[active.server] = true
	}
	index := slices.IndexFunc(servers, func(server string) bool { return !busy[server] })
	if index < 0 {
		return "", false
	}
	return servers[index], true
}

// EndRun records the end of the suspect's run.
func (i *Isolator) EndRun(now clock.Millis, requestID string) {
	if run, ok := i.runs[requestID]; ok {
		run.endedAt = now
		i.runs[requestID] = run
	}
}

// ExplainsCrash reports whether a crash of the server is explained by a suspect
// that runs there or whose run ended within explainWindow.
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
		if run.endedAt != 0 {
			return now.Since(run.endedAt) > explainWindow
		}
		return now.Since(run.startedAt) > runTimeout
	})
	i.waiting = slices.DeleteFunc(i.waiting, func(request RunRequest) bool { return now.Since(request.RequestedAt) > runTimeout })
}
