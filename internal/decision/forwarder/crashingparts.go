package forwarder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/partquarantine"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxAccusedParts limits the parts of prompts tracked in the quarantine.
	maxAccusedParts = 1024
	// crashCheckTime is the longest time for which a request waits, until it is known whether
	// the server that had begun to answer it crashed.
	crashCheckTime = 300 * clock.Millisecond
	// weakAccusationDelay is the time in which another instance can report that the server
	// had begun to answer one of its requests.
	weakAccusationDelay = 300 * clock.Millisecond
	// weakAccusationWindow is the time from the first event of an answer in which a crash
	// may still be due to its request.
	weakAccusationWindow = 500 * clock.Millisecond
	// survivalTime is the time from the first event of an answer after which its request has
	// not crashed the server.
	survivalTime = clock.Second
	// maxPendingCrashes limits the crashes that wait for weakAccusationDelay.
	maxPendingCrashes = 64
)

// pendingCrash is a crash whose requests are accused unless another instance explains it.
type pendingCrash struct {
	server   string
	requests []interruption
	dueAt    clock.Millis
}

// partKeys returns the keys of the prompt's parts that other requests may share.
func partKeys(parts []scheduler.Part) []uint64 {
	var keys []uint64
	for _, part := range parts[:max(0, len(parts)-1)] {
		keys = append(keys, scheduler.PartKey("", part.ID))
	}
	return keys
}

// mayCrashServers reports whether a request must not be sent, because one of its parts is
// convicted. It may run if that is due to confirm the conviction.
func (f *Forwarder) mayCrashServers(fl *flight) bool {
	part, convicted := f.parts.FirstConvicted(fl.partKeys)
	if !convicted || fl.confirms {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(fl.partKeys), func(key uint64) bool { return key == part })
	if f.parts.Suspicious(others) || !f.parts.ConfirmationDue(f.now, part, func() int { return f.rankFor(part) }) {
		return true
	}
	fl.confirms = true
	f.parts.BeginConfirmation(f.now, part)
	return false
}

// rankFor returns this instance's rank for a part among the listed instances.
func (f *Forwarder) rankFor(part uint64) int {
	score := func(name string) uint64 { return balancer.Rendezvous(part, name) }
	own, rank := score(f.settings.Name), 0
	for _, p := range f.peers {
		if score(p.name) > own {
			rank++
		}
	}
	return rank
}

// accuse accuses the requests that a crash interrupted, and the parts of their prompts. If the
// server had begun to answer some of them, the others are not accused. If not, prompts
// are accused later, unless another instance had such a request there.
func (f *Forwarder) accuse(id string, interrupted []interruption) {
	begun := slices.DeleteFunc(slices.Clone(interrupted), func(i interruption) bool { return !i.parts.Begun })
	if len(begun) > 0 {
		f.recordCrash(id, begun)
		return
	}
	var now, later []interruption
	for _, request := range interrupted {
		switch {
		case request.answering && f.now.Since(request.answeringSince) > weakAccusationWindow:
		case len(request.parts.Parts) == 0:
			now = append(now, request)
		default:
			later = append(later, request)
		}
	}
	f.recordCrash(id, now)
	if len(later) > 0 && len(f.pendingCrashes) < maxPendingCrashes {
		f.pendingCrashes = append(f.pendingCrashes, pendingCrash{server: id, requests: later, dueAt: f.now.Add(weakAccusationDelay)})
	}
}

// recordCrash records that the server crashed because of one of the requests.
func (f *Forwarder) recordCrash(id string, requests []interruption) {
	crash := partquarantine.Crash{Server: digest.ID(id)}
	for _, request := range requests {
		f.recordRequestCrash(request.fingerprint, id)
		if len(request.parts.Parts) > 0 {
			crash.Requests = append(crash.Requests, request.parts)
		}
	}
	if len(crash.Requests) > 0 {
		f.expediteRelay()
		f.convictParts(f.parts.RecordCrash(f.now, crash), "crash")
	}
}

// recordPendingCrashes handles the crashes that no instance has explained.
func (f *Forwarder) recordPendingCrashes() {
	for len(f.pendingCrashes) > 0 && f.now >= f.pendingCrashes[0].dueAt {
		pending := f.pendingCrashes[0]
		f.pendingCrashes = f.pendingCrashes[1:]
		if !f.parts.Explained(digest.ID(pending.server)) {
			f.recordCrash(pending.server, pending.requests)
		}
	}
}

// mergeAccusedParts takes over what a neighbor knows of parts that crash engines.
func (f *Forwarder) mergeAccusedParts(evidence []partquarantine.Evidence) {
	convicted, changed := f.parts.Merge(f.now, evidence)
	if changed {
		f.expediteRelay()
	}
	f.convictParts(convicted, "peer")
}

// convictParts handles parts that were convicted just now.
func (f *Forwarder) convictParts(parts []uint64, source string) {
	if len(parts) == 0 {
		return
	}
	f.expediteRelay()
	f.newConvictions = append(f.newConvictions, parts...)
	for _, part := range parts {
		f.log(eventlog.New(eventlog.PartConvicted, "").With("part", formatPart(part)).With("from", source).With("generation", f.parts.Generations([]uint64{part})[0]))
	}
}

// refuseConvicted refuses the requests in flight with parts that were convicted, unless they
// are being answered.
func (f *Forwarder) refuseConvicted() {
	if len(f.newConvictions) == 0 {
		return
	}
	parts := f.newConvictions
	f.newConvictions = nil
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		if fl.streamStarted || fl.callerDisconnected || !slices.ContainsFunc(fl.partKeys, func(key uint64) bool { return slices.Contains(parts, key) }) {
			continue
		}
		f.cancelAttempts(fl)
		f.refuse(fl, ReasonCrashesServers, f.settings.Bounds.RetryWindow)
	}
}

func formatPart(part uint64) string { return fmt.Sprintf("%016x", part) }

// formatParts returns the parts that other requests may share, as they are logged.
func (fl *flight) formatParts() string {
	var parts []string
	for _, key := range fl.partKeys {
		parts = append(parts, formatPart(key))
	}
	return strings.Join(parts, ",")
}

// recordSurvivals records the answers that have gone on for long enough.
func (f *Forwarder) recordSurvivals() {
	for _, fl := range f.flights {
		if fl.streamStarted && fl.attemptActive && !fl.survived && f.now.Since(fl.answeringSince) >= survivalTime {
			f.recordSurvival(fl)
		}
	}
}

// recordSurvival records that the server has not crashed although it answers the request.
func (f *Forwarder) recordSurvival(fl *flight) {
	fl.survived = true
	for _, part := range f.parts.RecordSurvival(f.now, fl.answeringSince, fl.partKeys) {
		f.expediteRelay()
		f.log(eventlog.New(eventlog.PartCleared, fl.id()).With("part", formatPart(part)).With("server", fl.server))
	}
}

// awaitCrashCheck makes a request wait whose server had begun to answer it when the connection
// ended: if the server has crashed, the request may crash the next one. It reports false if
// that is known already or unlikely.
func (f *Forwarder) awaitCrashCheck(fl *flight, event AttemptEnded) bool {
	begun := event.Outcome == OutcomeInterrupted && event.Status == statusOK && !fl.streamStarted
	if !begun || len(fl.partKeys) == 0 || f.parts.Survived(f.now, fl.partKeys) {
		return false
	}
	fl.waiting, fl.crashCheck = true, fl.server
	fl.checkAt = f.now.Add(crashCheckTime)
	return true
}

// endCrashChecks ends the wait of the requests that the server had begun to answer. Those at a
// server that has crashed are not repeated.
func (f *Forwarder) endCrashChecks(server string, crashed bool) {
	for _, id := range slices.Sorted(maps.Keys(f.flights)) {
		fl := f.flights[id]
		switch {
		case fl.crashCheck != server:
		case crashed:
			f.refuse(fl, ReasonServerFailed, f.jitteredRetryAfter())
		default:
			f.endCrashCheck(fl)
		}
	}
}

func (f *Forwarder) endCrashCheck(fl *flight) {
	fl.crashCheck, fl.waiting = "", false
	f.retryOrRefuse(fl)
}
