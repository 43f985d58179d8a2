package router

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
)

// peerMessage gives a peer's message to the part that it is for. A message of a
// kind that this version does not know is passed over.
func (r *Router) peerMessage(happened event.PeerMessage) {
	switch body := happened.Message.GetBody().(type) {
	case *peerv1.Message_Heartbeat:
		r.heartbeatHeard(happened.From, body.Heartbeat)
	case *peerv1.Message_ConfigRequest:
		r.configRequested(happened.From, body.ConfigRequest)
	case *peerv1.Message_ConfigOffer:
		r.configOffered(happened.From, body.ConfigOffer)
	case *peerv1.Message_ShardRequest:
		r.shardsRequested(happened.From, body.ShardRequest)
	case *peerv1.Message_ShardOffer:
		r.shardsOffered(body.ShardOffer)
	case *peerv1.Message_Draw:
		r.drawAsked(happened.From, body.Draw)
	case *peerv1.Message_Grant:
		r.granted(happened.From, body.Grant)
	case *peerv1.Message_Refund:
		r.rights.Refund(r.now, body.Refund.GetId(), body.Refund.GetTeam(), body.Refund.GetTokens())
	case *peerv1.Message_InstancesRequest:
		r.instancesRequested(happened.From)
	case *peerv1.Message_InstancesOffer:
		r.instancesOffered(body.InstancesOffer)
	case *peerv1.Message_ExplainRequest:
		r.explainRequested(happened.From, body.ExplainRequest)
	case *peerv1.Message_ExplainAnswer:
		r.explainAnswered(body.ExplainAnswer)
	case *peerv1.Message_ChooseAsk:
		r.chooseAsked(happened.From, body.ChooseAsk)
	case *peerv1.Message_ChooseAnswer:
		r.chooseAnswered(happened.From, body.ChooseAnswer)
	case *peerv1.Message_WorkEnd:
		r.workEnded(body.WorkEnd)
	case *peerv1.Message_ShareWish:
		r.shareWished(body.ShareWish)
	case *peerv1.Message_IsolationAsk, *peerv1.Message_IsolationGrant, *peerv1.Message_AloneEnd, *peerv1.Message_Blame:
		r.isolationMessage(happened.From, happened.Message)
	default:
		r.log(journal.New(journal.PeerMessageInvalid, "").With("from", happened.From))
	}
}
