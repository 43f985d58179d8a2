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

// Node is one instance of a Fleet.
type Node struct {
	Machine *router.Router
	Up      bool
	// Stopped tells that the machine has drained.
	Stopped bool
	// Revisions are the configuration revisions in force, one after the other.
	Revisions []int64

	fleet  *Fleet
	name   string
	domain string
	starts int
	frozen bool
	inbox  []event.Event // inbox has what happened while frozen.
	wake   clock.Millis
}

// Request is one caller's request and what became of it.
type Request struct {
	Arrival event.RequestArrived
	Node    string
	// Ended tells that the caller has its final answer, or has lost its
	// instance.
	Ended    bool
	EndedAt  clock.Millis
	Lost     bool
	Refusal  action.Refusal
	Answer   recorder.Response
	Replayed bool
}

// Answered reports whether the caller got a backend server's answer.
func (r *Request) Answered() bool {
	return r.Ended && !r.Lost && r.Answer.Status != 0
}

// Refused reports whether the caller got a refusal.
func (r *Request) Refused() bool {
	return r.Ended && !r.Lost && r.Answer.Status == 0
}

// Restart starts the node anew, with nothing of what it knew.
func (n *Node) Restart() {
	n.starts++
	n.Up = true
	n.Stopped = false
	n.frozen = false
	n.inbox = nil
	n.wake = 0
	n.Machine = router.New(router.Settings{
		Name:            n.name,
		Domain:          n.domain,
		Address:         n.name,
		Incarnation:     fmt.Sprint(n.starts),
		Seeds:           n.fleet.seeds(),
		MaxInFlight:     1000,
		ResponseTimeout: 30 * clock.Second,
		RecordTimeout:   2 * clock.Second,
		Seed:            n.fleet.nodeSeed(n.name, n.starts),
	})
	n.Step(event.Started{})
}

// Ready reports whether a balancer sends requests to the node.
func (n *Node) Ready() bool {
	return n.Up && n.Machine.Ready()
}

// Kill ends the node at once. Its callers lose their connections.
func (n *Node) Kill() {
	n.Up = false
	for _, request := range n.fleet.Requests {
		if request.Node == n.name && !request.Ended {
			request.Ended = true
			request.EndedAt = n.fleet.Now
			request.Lost = true
		}
	}
}

// Freeze stops the node as a paused process; what happens waits for Thaw.
func (n *Node) Freeze() {
	n.frozen = true
}

// Thaw lets a frozen node go on.
func (n *Node) Thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	waiting := n.inbox
	n.inbox = nil
	for _, happened := range waiting {
		n.Step(happened)
	}
	n.Step(event.Tick{})
}

// Step lets the event happen at the node.
func (n *Node) Step(happened event.Event) {
	if !n.Up {
		return
	}
	if n.frozen {
		n.inbox = append(n.inbox, happened)
		return
	}
	for _, next := range n.Machine.Step(n.fleet.Now, happened) {
		n.perform(next)
	}
	n.noteRevision()
	n.askWake()
}

func (n *Node) noteRevision() {
	_, revision, _ := n.Machine.Configuration()
	if len(n.Revisions) == 0 || n.Revisions[len(n.Revisions)-1] != revision {
		n.Revisions = append(n.Revisions, revision)
	}
}

// askWake delivers a Tick when the machine's next timer is due.
func (n *Node) askWake() {
	wake, ok := n.Machine.NextWake()
	if !ok || wake == n.wake {
		return
	}
	n.wake = wake
	start := n.starts
	n.fleet.After(max(0, wake.Since(n.fleet.Now)), func() {
		if n.wake == wake && n.starts == start {
			n.Step(event.Tick{})
		}
	})
}

// deliver lets the event happen after the span at this start of the node.
func (n *Node) deliver(span clock.Millis, happened event.Event) {
	start := n.starts
	n.fleet.After(span, func() {
		if n.starts == start {
			n.Step(happened)
		}
	})
}

func (n *Node) perform(next action.Action) {
	switch next := next.(type) {
	case action.CallPlatform:
		n.fleet.Platform.call(n, next)
	case action.Send:
		n.send(next.Address, next.Message)
	case action.Dispatch:
		n.fleet.dispatch(n, next)
	case action.Log:
		n.fleet.trace(n.name, "%s", next.Entry)
		n.fleet.noteTokens(next.Entry)
	case action.FinishOperation:
		n.fleet.Results[next.Operation] = next.Result
	case action.Refuse:
		n.end(next.Request, func(r *Request) { r.Refusal = next.Refusal })
	case action.EndStream:
		n.end(next.Request, func(r *Request) { r.Refusal = next.Refusal })
	case action.Respond:
		n.end(next.Request, func(r *Request) { r.Answer, r.Replayed = next.Response, next.Replayed })
	case action.CancelRequest:
		n.end(next.Request, func(r *Request) { r.Lost = true })
	case action.CancelAttempt:
		n.fleet.cancelAttempt(next.Attempt)
	case action.Stop:
		n.Stopped = true
	}
}

func (n *Node) send(address string, message *peerv1.Message) {
	to, ok := n.fleet.Nodes[address]
	if !ok || n.fleet.isCut(n.domain, to.domain) {
		return
	}
	to.deliver(PeerLatency, event.PeerMessage{From: n.name, Message: message})
}

func (n *Node) end(id string, note func(*Request)) {
	request, ok := n.fleet.request(id)
	if !ok || request.Ended {
		return
	}
	request.Ended = true
	request.EndedAt = n.fleet.Now
	note(request)
	n.fleet.trace(n.name, "answer request=%s status=%d code=%s notRun=%t replayed=%t", id, request.Answer.Status, request.Refusal.Code, request.Refusal.NotRun, request.Replayed)
}

// request returns the request with the identifier.
func (f *Fleet) request(id string) (*Request, bool) {
	request, ok := f.byID[id]
	return request, ok
}

// Send sends a caller's request to the node. Its identifier is given by the
// fleet when it is empty.
func (f *Fleet) Send(node string, arrival event.RequestArrived) *Request {
	if arrival.Request == "" {
		arrival.Request = fmt.Sprintf("r%d", len(f.Requests)+1)
	}
	request := &Request{Arrival: arrival, Node: node}
	f.Requests = append(f.Requests, request)
	f.byID[arrival.Request] = request
	if !f.Nodes[node].Up {
		request.Ended = true
		request.EndedAt = f.Now
		request.Lost = true
		return request
	}
	f.Nodes[node].Step(arrival)
	return request
}
