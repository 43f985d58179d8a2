package router

import (
	"encoding/json"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// explainTimeout is how long the peers' memories are waited for.
const explainTimeout = clock.Second

// explain tells what became of a request, from the own memory or a peer's.
func (r *Router) explain(happened event.ExplanationAsked) {
	if entries, ok := r.explained.Explain(happened.Request); ok {
		r.finish(happened.Operation, action.Result{Outcome: action.OperationDone, Entries: entries})
		return
	}
	peers := r.known.LivePeers(r.now, r.settings.Domain)
	if len(peers) == 0 {
		r.notExplained(happened.Operation)
		return
	}
	if !r.begin(happened.Operation, &operation{answers: len(peers)}) {
		return
	}
	request := &peerv1.ExplainRequest{Operation: happened.Operation, Request: happened.Request}
	for _, peer := range peers {
		r.send(peer, &peerv1.Message{Body: &peerv1.Message_ExplainRequest{ExplainRequest: request}})
	}
	r.after(explainTimeout, explainingDue{operation: happened.Operation})
}

func (r *Router) notExplained(id string) {
	r.finish(id, action.Result{Outcome: action.OperationNotFound, Message: "no reachable instance of this failure domain remembers the request"})
}

func (r *Router) explainRequested(from string, request *peerv1.ExplainRequest) {
	peer, ok := r.known.Peer(from)
	if !ok {
		return
	}
	entries, _ := r.explained.Explain(request.GetRequest())
	explanation, err := json.Marshal(entries)
	if err != nil {
		return
	}
	answer := &peerv1.ExplainAnswer{Operation: request.GetOperation(), Explanation: explanation}
	r.send(peer, &peerv1.Message{Body: &peerv1.Message_ExplainAnswer{ExplainAnswer: answer}})
}

func (r *Router) explainAnswered(answer *peerv1.ExplainAnswer) {
	asked, ok := r.operations[answer.GetOperation()]
	if !ok || asked.answers == 0 {
		return
	}
	var entries []journal.Entry
	if json.Unmarshal(answer.GetExplanation(), &entries) == nil && len(entries) > 0 {
		r.finish(answer.GetOperation(), action.Result{Outcome: action.OperationDone, Entries: entries})
		return
	}
	asked.answers--
	if asked.answers == 0 {
		r.notExplained(answer.GetOperation())
	}
}

func (r *Router) explainingTimedOut(id string) {
	if _, ok := r.operations[id]; ok {
		r.notExplained(id)
	}
}
