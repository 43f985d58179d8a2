package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/admitter"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// capacityWaitThirds is the longest wait for capacity in thirds of the request's time. A caller
// that is refused later has too little time left to return.
const capacityWaitThirds = 2

// needsAdmission reports whether the request needs a slot of a server before it is sent. Plain
// requests and streams that continue after an event are not held back.
func (f *Forwarder) needsAdmission(fl *flight) bool {
	return f.settings.Admission && fl.hasPrompt() && !fl.partDelivered && fl.request.LastEventID == "" && fl.request.ResumedRequest == ""
}

// admissionRequest returns the request as the admitter needs it.
func (f *Forwarder) admissionRequest(fl *flight) admitter.Request {
	duration := min(f.admitter.Duration(fl.service, fl.priority), fl.deadline.Since(fl.arrivedAt)/2)
	return admitter.Request{
		ID: fl.id(), Service: fl.service, Priority: fl.priority,
		Target: fl.route.ResponseTarget, TargetAt: fl.arrivedAt.Add(fl.route.ResponseTarget),
		GiveUpAt: min(fl.deadline.Add(-max(minRemaining, duration)), fl.arrivedAt.Add(fl.deadline.Since(fl.arrivedAt)*capacityWaitThirds/3)), Constrained: len(fl.triedServers) > 0 || fl.hasOrigin,
	}
}

// setPriorities tells the admitter the priorities of the routes that lead to each service.
func (f *Forwarder) setPriorities() {
	for name := range f.desired.Services {
		var priorities []int
		for _, route := range f.desired.Routes {
			if route.LeadsTo(name) {
				priorities = append(priorities, route.Priority)
			}
		}
		f.admitter.SetPriorities(f.now, name, priorities)
	}
}

// chooseAdmitted returns the cheapest candidate that admits the request. If there is none, full
// reports whether that is for lack of capacity.
func (f *Forwarder) chooseAdmitted(fl *flight, request scheduler.Request, candidates []scheduler.Candidate, turn bool) (choice scheduler.Choice, ok, full bool) {
	if !f.needsAdmission(fl) {
		choice, ok = f.scheduler.Choose(f.now, request, candidates)
		return choice, ok, false
	}
	wanted, admits, capacity := f.admissionRequest(fl), f.admitter.Admits, admitter.Capacity{}
	if turn {
		admits = f.admitter.AdmitsTurn
	}
	choice, ok, full = f.scheduler.ChooseAdmitted(f.now, request, candidates, func(choice scheduler.Choice) bool {
		server := admitter.Server{
			ID: choice.Server, Slots: choice.Slots, Requests: choice.Load.Requests, QueueMs: choice.QueueMs,
			MemoryTokens: choice.MemoryTokens, NeededTokens: choice.NeededTokens(),
		}
		capacity = capacity.Plus(server)
		return admits(f.now, wanted, server)
	})
	full = full && !ok
	if full {
		f.admitter.SetCapacity(wanted, capacity)
	}
	return choice, ok, full
}

// awaitCapacity makes the request wait for capacity, or refuses it if it would wait for too long.
func (f *Forwarder) awaitCapacity(fl *flight) {
	fl.waiting, fl.waitDeadline = false, 0
	if f.mustNotWait(fl) {
		f.refuse(fl, ReasonStopping, f.stoppingRetryAfter())
		return
	}
	wanted := f.admissionRequest(fl)
	wait, capacity := f.admitter.ExpectedWait(f.now, wanted), f.admitter.CapacityOf(fl.service)
	if !f.admitter.Useful(f.now, wanted) {
		f.refuseForCapacity(fl, wait)
		return
	}
	f.admitter.Enqueue(f.now, wanted)
	fl.checkAt = wanted.GiveUpAt
	entry := eventlog.New(eventlog.CapacityAwaited, fl.id()).With("priority", wanted.Priority).With("taken", capacity.Requests).With("slots", capacity.Slots)
	f.log(entry.With("waiting", f.admitter.Waiting()).With("expected", wait).With("giveUpIn", wanted.GiveUpAt.Since(f.now)))
}

// refuseForCapacity refuses a request for which no capacity is expected in time. The callers
// return when it is, spread over half as much time again.
func (f *Forwarder) refuseForCapacity(fl *flight, wait clock.Millis) {
	f.log(eventlog.New(eventlog.CapacityRefused, fl.id()).With("priority", fl.priority).With("waiting", f.admitter.Waiting()).With("expected", wait).With("left", fl.remaining(f.now)))
	wait = min(max(wait, minCapacityRetryAfter), maxCapacityRetryAfter)
	f.refuse(fl, ReasonNoCapacity, wait+clock.Millis(f.jitter(int64(wait/2+defaultRetryAfter/2))))
}

// The retry delay of requests refused for lack of capacity is limited: servers free some slots
// within the shorter time, and bursts last for some seconds.
const (
	minCapacityRetryAfter = 100 * clock.Millisecond
	maxCapacityRetryAfter = 5 * clock.Second
)

// refuseLate refuses a request that has waited for capacity until it can't be served any more.
func (f *Forwarder) refuseLate(fl *flight) {
	f.refuseForCapacity(fl, f.admitter.ExpectedWait(f.now, f.admissionRequest(fl)))
}

// sendWaiting sends requests that wait for capacity, as far as there is some.
func (f *Forwarder) sendWaiting() {
	f.admitter.SetInstances(f.arrangement.Size(), f.arrangement.Rank(f.settings.Name))
	for _, request := range f.admitter.Hopeless(f.now) {
		f.refuseLate(f.flights[request.ID])
	}
	f.admitter.Round(f.now, func(request admitter.Request, turn bool) bool {
		fl := f.flights[request.ID]
		f.scheduler.ExcludeSources(f.excludedSources())
		choice, ok, full := f.chooseAdmitted(fl, f.schedulerRequest(fl), f.candidatesOrLeaving(fl), turn)
		switch {
		case ok:
			f.dispatchInTime(fl, choice)
		case !full:
			f.admitter.Remove(request.ID)
			f.waitForServer(fl)
		}
		return !full
	})
}

// recordSent tells the admitter that the request was sent.
func (f *Forwarder) recordSent(fl *flight, server string) {
	if !f.needsAdmission(fl) {
		return
	}
	if f.admitter.Waits(fl.id()) {
		f.emit(ObserveDuration{Histogram: HistogramCapacityWait, Duration: f.now.Since(fl.arrivedAt)})
	}
	f.admitter.Sent(f.now, f.admissionRequest(fl), server)
}

// recordEnded tells the admitter that an attempt of the request has ended.
func (f *Forwarder) recordEnded(fl *flight, event AttemptEnded) {
	if used, ok := fl.ways[event.Attempt]; ok && fl.hasPrompt() && event.Outcome == OutcomeCompleted {
		f.admitter.Ended(f.now, fl.service, fl.priority, fl.server, f.now.Since(used.beganAt))
	}
}

// recordFull tells the admitter that a server has declined the request, for lack of capacity
// unless it pauses.
func (f *Forwarder) recordFull(fl *flight, id string) {
	server, ok := f.servers.Server(id)
	if !ok || !f.needsAdmission(fl) || server.Slots == 0 || f.holdsBack(server) {
		return
	}
	f.admitter.Rejected(f.now, fl.service, admitter.Server{ID: id, Slots: server.Slots, Requests: f.scheduler.ServerLoad(f.now, id).Requests})
}
