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

// Node is one instance of a Cluster.
type Node struct {
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
	pendingEvents []event.Event // pendingEvents arrived while the node was paused.
	nextTick      clock.Millis  // nextTick is the time of the last scheduled Tick.
}

// Request is one caller's request and its result.
type Request struct {
	Arrival event.RequestArrived
	Node    string
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

// Restart starts the node with the next incarnation and no state of the
// previous one.
func (n *Node) Restart() {
	n.starts++
	n.Up = true
	n.Stopped = false
	n.paused = false
	n.pendingEvents = nil
	n.nextTick = 0
	n.Router = router.New(router.Settings{
		Name:            n.name,
		Domain:          n.domain,
		Address:         n.name,
		Incarnation:     fmt.Sprint(n.starts),
		SeedAddresses:   n.cluster.seedAddresses(),
		MaxInFlight:     1000,
		ResponseTimeout: 30 * clock.Second,
		RecordTimeout:   2 * clock.Second,
		Seed:            n.cluster.nodeSeed(n.name, n.starts),
	})
	n.Step(event.Started{})
}

// Ready reports whether a load balancer would send requests to the node.
func (n *Node) Ready() bool {
	return n.Up && n.Router.Ready()
}

// Kill stops the node without draining. Its callers lose their connections.
func (n *Node) Kill() {
	n.Up = false
	for _, request := range n.cluster.Requests {
		if request.Node == n.name && !request.Ended {
			request.Ended = true
			request.EndedAt = n.cluster.Now
			request.Disconnected = true
		}
	}
}

// Pause suspends the node like a stopped process; events are queued until Resume.
func (n *Node) Pause() {
	n.paused = true
}

// Resume processes the events queued since Pause and continues the node.
func (n *Node) Resume() {
	if !n.paused {
		return
	}
	n.paused = false
	pending := n.pendingEvents
	n.pendingEvents = nil
	for _, ev := range pending {
		n.Step(ev)
	}
	n.Step(event.Tick{})
}

// Step passes the event to the node's router and performs the actions that it
// returns. It does nothing if the node is down, and queues the event if it is
// paused.
func (n *Node) Step(ev event.Event) {
	if !n.Up {
		return
	}
	if n.paused {
		n.pendingEvents = append(n.pendingEvents, ev)
		return
	}
	for _, next := range n.Router.Step(n.cluster.Now, ev) {
		n.perform(next)
	}
	n.recordRevision()
	n.scheduleTick()
}

// recordRevision appends the configuration revision to Revisions if it changed.
func (n *Node) recordRevision() {
	_, revision, _ := n.Router.Configuration()
	if len(n.Revisions) == 0 || n.Revisions[len(n.Revisions)-1] != revision {
		n.Revisions = append(n.Revisions, revision)
	}
}

// scheduleTick schedules a Tick for when the router's next timer is due.
func (n *Node) scheduleTick() {
	due, ok := n.Router.NextWake()
	if !ok || due == n.nextTick {
		return
	}
	n.nextTick = due
	start := n.starts
	n.cluster.AfterFunc(max(0, due.Since(n.cluster.Now)), func() {
		if n.nextTick == due && n.starts == start {
			n.Step(event.Tick{})
		}
	})
}

// deliver passes the event to the node after the delay, unless the node has been
// restarted by then.
func (n *Node) deliver(delay clock.Millis, ev event.Event) {
	start := n.starts
	n.cluster.AfterFunc(delay, func() {
		if n.starts == start {
			n.Step(ev)
		}
	})
}

// perform carries out an action of the router.
func (n *Node) perform(next action.Action) {
	switch next := next.(type) {
	case action.CallPlatform:
		n.cluster.Platform.call(n, next)
	case action.Send:
		n.send(next.Address, next.Message)
	case action.Dispatch:
		n.cluster.dispatch(n, next)
	case action.Log:
		n.cluster.trace(n.name, "%s", next.Entry)
		n.cluster.recordTokens(next.Entry)
	case action.FinishOperation:
		n.cluster.Results[next.Operation] = next.Result
	case action.Refuse:
		n.endRequest(next.Request, func(r *Request) { r.Refusal = next.Refusal })
	case action.EndStream:
		n.endRequest(next.Request, func(r *Request) { r.Refusal = next.Refusal })
	case action.Respond:
		n.endRequest(next.Request, func(r *Request) { r.Response, r.Replayed = next.Response, next.Replayed })
	case action.CancelRequest:
		n.endRequest(next.Request, func(r *Request) { r.Disconnected = true })
	case action.CancelAttempt:
		n.cluster.cancelAttempt(next.Attempt)
	case action.Stop:
		n.Stopped = true
	}
}

// send delivers a message to the peer at the address, unless a partition separates
// them.
func (n *Node) send(address string, message *peerv1.Message) {
	to, ok := n.cluster.Nodes[address]
	if !ok || n.cluster.isPartitioned(n.domain, to.domain) {
		return
	}
	to.deliver(PeerLatency, event.PeerMessage{From: n.name, Message: message})
}

// endRequest marks the request as ended, sets its result with the function and
// adds a line to the trace.
func (n *Node) endRequest(id string, setResult func(*Request)) {
	request, ok := n.cluster.request(id)
	if !ok || request.Ended {
		return
	}
	request.Ended = true
	request.EndedAt = n.cluster.Now
	setResult(request)
	n.cluster.trace(n.name, "answer request=%s status=%d code=%s notRun=%t replayed=%t", id, request.Response.Status, request.Refusal.Code, request.Refusal.NotRun, request.Replayed)
}

// request returns the request with the identifier and whether there is one.
func (c *Cluster) request(id string) (*Request, bool) {
	request, ok := c.requestsByID[id]
	return request, ok
}

// Send sends a caller's request to the node. An empty identifier is replaced by a
// new one.
func (c *Cluster) Send(node string, arrival event.RequestArrived) *Request {
	if arrival.Request == "" {
		arrival.Request = fmt.Sprintf("r%d", len(c.Requests)+1)
	}
	request := &Request{Arrival: arrival, Node: node}
	c.Requests = append(c.Requests, request)
	c.requestsByID[arrival.Request] = request
	if !c.Nodes[node].Up {
		request.Ended = true
		request.EndedAt = c.Now
		request.Disconnected = true
		return request
	}
	c.Nodes[node].Step(arrival)
	return request
}
