package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
)

// handlePeerMessage dispatches a peer's message to its handler. A message of an
// unknown type is logged and ignored.
func (r *Router) handlePeerMessage(ev event.PeerMessage) {
	switch body := ev.Message.GetBody().(type) {
	case *peerv1.Message_Heartbeat:
		r.handleHeartbeat(ev.From, body.Heartbeat)
	case *peerv1.Message_ConfigRequest:
		r.handleConfigRequest(ev.From, body.ConfigRequest)
	case *peerv1.Message_ConfigOffer:
		r.handleConfigOffer(ev.From, body.ConfigOffer)
	case *peerv1.Message_ShardRequest:
		r.handleConfigShardRequest(ev.From, body.ShardRequest)
	case *peerv1.Message_ShardOffer:
		r.handleConfigShardOffer(body.ShardOffer)
	case *peerv1.Message_Draw:
		r.handleAcquireRequest(ev.From, body.Draw)
	case *peerv1.Message_Grant:
		r.handleGrant(ev.From, body.Grant)
	case *peerv1.Message_Refund:
		r.limiter.Refund(r.now, body.Refund.GetId(), body.Refund.GetTeam(), body.Refund.GetTokens())
	case *peerv1.Message_InstancesRequest:
		r.handleInstancesRequest(ev.From)
	case *peerv1.Message_InstancesOffer:
		r.handleInstancesOffer(body.InstancesOffer)
	case *peerv1.Message_ExplainRequest:
		r.handleExplainRequest(ev.From, body.ExplainRequest)
	case *peerv1.Message_ExplainAnswer:
		r.handleExplainReply(body.ExplainAnswer)
	case *peerv1.Message_ChooseAsk:
		r.handleChoiceRequest(ev.From, body.ChooseAsk)
	case *peerv1.Message_ChooseAnswer:
		r.handleChoiceReply(ev.From, body.ChooseAnswer)
	case *peerv1.Message_WorkEnd:
		r.handleDelegatedProgress(body.WorkEnd)
	case *peerv1.Message_ShareWish:
		r.handleShareRequest(body.ShareWish)
	case *peerv1.Message_IsolationAsk, *peerv1.Message_IsolationGrant, *peerv1.Message_AloneEnd, *peerv1.Message_Blame:
		r.handleIsolationMessage(ev.From, ev.Message)
	default:
		r.log(eventlog.New(eventlog.PeerMessageInvalid, "").With("from", ev.From))
	}
}
