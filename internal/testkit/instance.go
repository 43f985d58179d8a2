package testkit

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/router"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Instance is one instance of a Cluster.
type Instance struct {
	Router *router.Router
	Up     bool
	// Stopped reports that the router has drained and returned the action Stop.
	Stopped bool
	// Revisions are the configuration revisions that were in force, in order.
	Revisions []int64

	cluster       *Cluster
	name          string
	domain        string
	starts        int
	paused        bool
	pendingEvents []event.Event // pendingEvents arrived while the instance was paused.
	nextTick      clock.Millis  // nextTick is the time of the last scheduled Tick.
}

// Request is one caller's request and its result.
type Request struct {
	Arrival  event.RequestArrived
	Instance string
	// Ended reports that the caller has received the final response or has lost
	// its connection to the instance; Disconnected reports the latter.
	Ended        bool
	EndedAt      clock.Millis
	Disconnected bool
	Refusal      action.Refusal
	Response     recorder.Response
	Replayed     bool
}

// HasResponse reports whether the caller received the response of a backend
// server.
func (r *Request) HasResponse() bool {
	return r.Ended && !r.Disconnected && r.Response.Status != 0
}

// Refused reports whether the caller received a refusal.
func (r *Request) Refused() bool {
	return r.Ended && !r.Disconnected && r.Response.Status == 0
}

// Restart starts the instance with the next incarnation and no state of the
// previous one.
func (i *Instance) Restart() {
	i.starts++
	i.Up = true
	i.Stopped = false
	i.paused = false
	i.pendingEvents = nil
	i.nextTick = 0
	i.Router = router.New(router.Settings{
		Name:            i.name,
		Domain:          i.domain,
		Address:         i.name,
		Incarnation:     fmt.Sprint(i.starts),
		SeedAddresses:   i.cluster.seedAddresses(),
		MaxInFlight:     1000,
		ResponseTimeout: 30 * clock.Second,
		RecordTimeout:   2 * clock.Second,
		Seed:            i.cluster.instanceSeed(i.name, i.starts),
	})
	i.Step(event.Started{})
}

// Ready reports whether a load balancer would send requests to the instance.
func (i *Instance) Ready() bool {
	return i.Up && i.Router.Ready()
}

// Kill stops the instance without draining. Its callers lose their connections.
func (i *Instance) Kill() {
	i.Up = false
	for _, request := range i.cluster.Requests {
		if request.Instance == i.name && !request.Ended {
			request.Ended = true
			request.EndedAt = i.cluster.Now
			request.Disconnected = true
		}
	}
}

// Pause suspends the instance like a stopped process; events are queued until Resume.
func (i *Instance) Pause() {
	i.paused = true
}

// Resume processes the events queued since Pause and continues the instance.
func (i *Instance) Resume() {
	if !i.paused {
		return
	}
	i.paused = false
	pending := i.pendingEvents
	i.pendingEvents = nil
	for _, ev := range pending {
		i.Step(ev)
	}
	i.Step(event.Tick{})
}

// Step passes the event to the instance's router and performs the actions that it
// returns. It does nothing if the instance is down, and queues the event if it is
// paused.
func (i *Instance) Step(ev event.Event) {
	if !i.Up {
		return
	}
	if i.paused {
		i.pendingEvents = append(i.pendingEvents, ev)
		return
	}
	for _, next := range i.Router.Step(i.cluster.Now, ev) {
		i.perform(next)
	}
	i.recordRevision()
	i.scheduleTick()
}

// recordRevision appends the configuration revision to Revisions if it changed.
func (i *Instance) recordRevision() {
	_, revision, _ := i.Router.Configuration()
	if len(i.Revisions) == 0 || i.Revisions[len(i.Revisions)-1] != revision {
		i.Revisions = append(i.Revisions, revision)
	}
}

// scheduleTick schedules a Tick for when the router's next timer is due.
func (i *Instance) scheduleTick() {
	due, ok := i.Router.NextWake()
	if !ok || due == i.nextTick {
		return
	}
	i.nextTick = due
	start := i.starts
	i.cluster.AfterFunc(max(0, due.Since(i.cluster.Now)), func() {
		if i.nextTick == due && i.starts == start {
			i.Step(event.Tick{})
		}
	})
}

// deliver passes the event to the instance after the delay, unless the instance has been
// restarted by then.
func (i *Instance) deliver(delay clock.Millis, ev event.Event) {
	start := i.starts
	i.cluster.AfterFunc(delay, func() {
		if i.starts == start {
			i.Step(ev)
		}
	})
}

// perform carries out an action of the router.
func (i *Instance) perform(next action.Action) {
	switch next := next.(type) {
	case action.CallPlatform:
		i.cluster.Platform.call(i, next)
	case action.Send:
		i.send(next.Address, next.Message)
	case action.Dispatch:
		i.cluster.dispatch(i, next)
	case action.Log:
		i.cluster.trace(i.name, "%s", next.Entry)
		i.cluster.recordTokens(next.Entry)
	case action.FinishOperation:
		i.cluster.Results[next.Operation] = next.Result
	case action.Refuse:
		i.endRequest(next.Request, func(r *Request) { r.Refusal = next.Refusal })
	case action.EndStream:
		i.endRequest(next.Request, func(r *Request) { r.Refusal = next.Refusal })
	case action.Respond:
		i.endRequest(next.Request, func(r *Request) { r.Response, r.Replayed = next.Response, next.Replayed })
	case action.CancelRequest:
		i.endRequest(next.Request, func(r *Request) { r.Disconnected = true })
	case action.CancelAttempt:
		i.cluster.cancelAttempt(next.Attempt)
	case action.Stop:
		i.Stopped = true
	}
}

// send delivers a message to the peer at the address, unless a partition separates
// them.
func (i *Instance) send(address string, message *peerv1.Message) {
	to, ok := i.cluster.Instances[address]
	if !ok || i.cluster.isPartitioned(i.domain, to.domain) {
		return
	}
	to.deliver(PeerLatency, event.PeerMessage{From: i.name, Message: message})
}

// endRequest marks the request as ended, sets its result with the function and
// adds a line to the trace.
func (i *Instance) endRequest(id string, setResult func(*Request)) {
	request, ok := i.cluster.request(id)
	if !ok || request.Ended {
		return
	}
	request.Ended = true
	request.EndedAt = i.cluster.Now
	setResult(request)
	i.cluster.trace(i.name, "answer request=%s status=%d code=%s notRun=%t replayed=%t", id, request.Response.Status, request.Refusal.Code, request.Refusal.NotRun, request.Replayed)
}

// request returns the request with the identifier and whether there is one.
func (c *Cluster) request(id string) (*Request, bool) {
	request, ok := c.requestsByID[id]
	return request, ok
}

// Send sends a caller's request to the instance. An empty identifier is replaced by a
// new one.
func (c *Cluster) Send(instance string, arrival event.RequestArrived) *Request {
	if arrival.Request == "" {
		arrival.Request = fmt.Sprintf("r%d", len(c.Requests)+1)
	}
	request := &Request{Arrival: arrival, Instance: instance}
	c.Requests = append(c.Requests, request)
	c.requestsByID[arrival.Request] = request
	if !c.Instances[instance].Up {
		request.Ended = true
		request.EndedAt = c.Now
		request.Disconnected = true
		return request
	}
	c.Instances[instance].Step(arrival)
	return request
}
