package router

import (
	"encoding/json"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// explainTimeout is the wait for the peers' replies.
const explainTimeout = clock.Second

// explainRequest returns the logged events of a request, from this instance or from
// a peer.
func (r *Router) explainRequest(ev event.ExplanationRequested) {
	if entries, ok := r.explainer.Explain(ev.Request); ok {
		r.finishOperation(ev.Operation, action.OperationResult{Outcome: action.OperationDone, Entries: entries})
		return
	}
	peers := r.view.LivePeers(r.now, r.settings.Domain)
	if len(peers) == 0 {
		r.finishUnexplained(ev.Operation)
		return
	}
	if !r.beginOperation(ev.Operation, &operation{pendingReplies: len(peers)}) {
		return
	}
	request := &peerv1.ExplainRequest{Operation: ev.Operation, Request: ev.Request}
	for _, peer := range peers {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_ExplainRequest{ExplainRequest: request}})
	}
	r.scheduleAfter(explainTimeout, explainTimer{operation: ev.Operation})
}

func (r *Router) finishUnexplained(id string) {
	r.finishOperation(id, action.OperationResult{Outcome: action.OperationNotFound, Message: "no reachable instance of this failure domain remembers the request"})
}

func (r *Router) handleExplainRequest(from string, request *peerv1.ExplainRequest) {
	peer, ok := r.view.Peer(from)
	if !ok {
		return
	}
	entries, _ := r.explainer.Explain(request.GetRequest())
	encoded, err := json.Marshal(entries)
	if err != nil {
		return
	}
	reply := &peerv1.ExplainAnswer{Operation: request.GetOperation(), Explanation: encoded}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ExplainAnswer{ExplainAnswer: reply}})
}

func (r *Router) handleExplainReply(reply *peerv1.ExplainAnswer) {
	op, ok := r.operations[reply.GetOperation()]
	if !ok || op.pendingReplies == 0 {
		return
	}
	var entries []eventlog.Entry
	if json.Unmarshal(reply.GetExplanation(), &entries) == nil && len(entries) > 0 {
		r.finishOperation(reply.GetOperation(), action.OperationResult{Outcome: action.OperationDone, Entries: entries})
		return
	}
	op.pendingReplies--
	if op.pendingReplies == 0 {
		r.finishUnexplained(reply.GetOperation())
	}
}

func (r *Router) handleExplainTimeout(id string) {
	if _, ok := r.operations[id]; ok {
		r.finishUnexplained(id)
	}
}
