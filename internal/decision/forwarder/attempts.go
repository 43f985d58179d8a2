package forwarder

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/desired"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/placer"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/roster"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// maxSendings bounds the sendings of one request, those that ran nothing
	// included.
	maxSendings = 4
	// leastLeft is the least time that is worth another sending: two ways to a far
	// server and the shortest work.
	leastLeft = 30 * clock.Millisecond
	// silenceTargets is how many times its target, and the time that is expected, an
	// attempt that may be repeated may stay silent.
	silenceTargets = 2
	// leastSilence is the shortest silence that says something: a server that is busy
	// for a moment must not lose its requests.
	leastSilence = 400 * clock.Millisecond
	// plainOutput is the output that is assumed of a prompt without a number.
	plainOutput = 16
)

// place chooses a server and sends the request there, or refuses it.
func (f *Forwarder) place(fl *flight) {
	ask := placer.Request{Parts: fl.request.Parts, PromptTokens: fl.request.Prompt, OutputTokens: max(fl.request.Output, plainOutput)}
	f.places.ExcludeSources(f.barred())
	choice, ok := f.places.Choose(f.now, ask, f.candidates(fl))
	if !ok {
		f.await(fl)
		return
	}
	if !fl.plain() && clock.Millis(choice.QueueMs) > fl.left(f.now) {
		f.refuse(fl, ReasonTooLate, clock.Millis(choice.QueueMs)/2+f.soon())
		return
	}
	f.dispatch(fl, choice)
}

// soon returns a time to come back, spread so that callers do not come together.
func (f *Forwarder) soon() clock.Millis {
	return comeBack/2 + clock.Millis(f.spread(int64(comeBack)))
}

func (f *Forwarder) dispatch(fl *flight, choice placer.Choice) {
	server, _ := f.servers.Server(choice.Server)
	fl.waiting, fl.waitEnd = false, 0
	fl.attempt++
	fl.server = choice.Server
	fl.sending = true
	fl.answered = false
	fl.tried[choice.Server] = true
	fl.ran++
	fl.expected = choice.CostMs
	f.places.Begin(f.now, fl.id(), choice)
	f.setDue(fl)
	f.tellOfPrompt(choice.UncachedTokens)
	entry := journal.New(journal.RouteChosen, fl.id()).With("route", fl.route.Name).With("team", fl.team.Name).With("server", choice.Server)
	entry = entry.With("attempt", fl.attempt).With("cost", fmt.Sprintf("%.0fms", choice.CostMs)).With("missed", choice.UncachedTokens).With("source", choice.FetchSource)
	entry = entry.With("load", fmt.Sprintf("%d/%d/%d", choice.Load.Requests, choice.Load.PrefillTokens, choice.Load.MemoryTokens))
	entry = entry.With("weights", server.Entry.WeightVersions[fl.request.Model]).With("left", fl.left(f.now))
	f.log(entry.With("stateVersion", f.state.Version).With("stateAge", f.now.Since(f.stateAt)))
	save := ""
	if choice.SaveToStore {
		save = f.keptCache().CacheStoreAddress
	}
	f.emit(Dispatch{
		Request: fl.id(), Attempt: fl.attempt,
		Server: choice.Server, Address: server.Address,
		Team: fl.team.Name, Model: !fl.plain(), Salt: choice.Salt, Weights: server.Entry.WeightVersions[fl.request.Model],
		Source: f.addressOf(choice.FetchSource), Save: save,
		Rank: fl.rank(), Left: fl.left(f.now), LastEvent: fl.lastEvent,
		Stream: fl.route.Kind == desired.Stream, Gap: f.gapFor(fl),
	})
}

// mayRepeat reports whether a request that may have run may be sent again.
func (f *Forwarder) mayRepeat(fl *flight) bool {
	return fl.route.Repeatable() && fl.ran < max(1, fl.route.MaxAttempts) && fl.attempt < maxSendings
}

func (f *Forwarder) answering(happened Answering) {
	fl, ok := f.current(happened.Request, happened.Attempt)
	if !ok {
		return
	}
	fl.answered = true
	fl.passed = true
	f.places.ResponseStarted(f.now, fl.id())
	f.emit(Measure{What: MeasuredFirstEvent, Span: f.now.Since(fl.arrived)})
	f.setDue(fl)
	f.log(journal.New(journal.AttemptFirstToken, fl.id()).With("server", fl.server).With("attempt", fl.attempt).With("after", f.now.Since(fl.arrived)))
}

// current returns the flight whose current attempt it is.
func (f *Forwarder) current(id string, attempt int) (*flight, bool) {
	fl, ok := f.flights[id]
	if !ok || !fl.sending || fl.attempt != attempt {
		return nil, false
	}
	return fl, true
}

func (f *Forwarder) ended(happened Ended) {
	fl, ok := f.current(happened.Request, happened.Attempt)
	if !ok {
		return
	}
	fl.sending = false
	fl.passed = fl.passed || happened.Passed
	if happened.LastEvent != "" {
		fl.lastEvent = happened.LastEvent
	}
	if happened.Weights > 0 && !fl.plain() {
		f.heardWeights(fl.server, fl.request.Model, happened.Weights)
	}
	f.places.End(fl.id())
	if happened.Outcome == Answered {
		f.wholeAnswer(fl, happened)
		return
	}
	f.failedAttempt(fl, happened)
}

// wholeAnswer passes a server's answer on; a failure of a request that may run again
// is tried elsewhere first.
func (f *Forwarder) wholeAnswer(fl *flight, happened Ended) {
	failed := happened.Status >= 500
	f.servers.RecordResult(f.now, fl.server, failed)
	if failed && f.mayRepeat(fl) && !fl.abandoned && f.again(fl) == "" {
		return
	}
	entry := journal.New(journal.RequestAnswered, fl.id()).With("server", fl.server).With("status", happened.Status)
	f.log(entry.With("attempts", fl.attempt).With("after", f.now.Since(fl.arrived)))
	f.emit(Measure{What: measuredAnswer + Measured(fl.route.Kind.String()), Span: f.now.Since(fl.arrived)})
	f.forget(fl)
	f.emit(Pass{Request: fl.id()})
}

// again sends the request to another server, if there is time, a server and budget. It
// returns why it does not, or nothing.
func (f *Forwarder) again(fl *flight) Reason {
	if fl.left(f.now) < leastLeft {
		return ReasonTooLate
	}
	if fl.attempt >= maxSendings || (len(f.candidates(fl)) == 0 && !f.expected(fl)) {
		return ReasonNoServer
	}
	if !f.budget.AcquireRetry(f.now, fl.service, f.members()) {
		return ReasonNoBudget
	}
	f.place(fl)
	return ""
}

func (f *Forwarder) failedAttempt(fl *flight, happened Ended) {
	entry := journal.New(journal.AttemptFailed, fl.id()).With("server", fl.server).With("attempt", fl.attempt).With("failure", happened.Outcome)
	f.log(entry.With("status", happened.Status).With("detail", happened.Detail).With("passed", fl.passed).With("after", f.now.Since(fl.arrived)))
	switch happened.Outcome {
	case Unsent:
		if f.servers.MarkUnreachable(f.now, fl.server) {
			f.wentDown(fl.server)
		}
	case Declined, Misaddressed:
		f.servers.RecordResult(f.now, fl.server, false)
	case Cut:
		f.servers.RecordResult(f.now, fl.server, true)
		f.noteCut(fl)
		f.check(fl.server)
	case Spoilt:
		f.servers.RecordResult(f.now, fl.server, true)
	}
	if happened.Outcome.notRun() {
		fl.ran--
	}
	if fl.abandoned {
		f.refuse(fl, ReasonServerFailed, 0)
		return
	}
	repeat := happened.Outcome.notRun() || f.mayRepeat(fl)
	if fl.passed && !fl.route.Resumable {
		repeat = false
	}
	if !repeat {
		f.refuse(fl, ReasonServerFailed, f.soon())
		return
	}
	if reason := f.again(fl); reason != "" {
		f.refuse(fl, reason, f.soon())
	}
}

// check asks a server for its health, where its service has a path for that.
func (f *Forwarder) check(id string) {
	server, ok := f.servers.Server(id)
	if !ok {
		return
	}
	f.emitCheck(server)
}

func (f *Forwarder) emitCheck(server roster.Server) {
	f.emit(Check{Server: server.ID, Address: server.Address, Path: f.state.Services[server.Service].HealthPath})
}
