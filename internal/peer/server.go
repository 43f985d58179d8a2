// Package peer carries messages between the instances of a fleet by connect-go.
//
// # Usage
//
//	handler := peer.NewHandler(credential, receive)
//	sender := peer.NewSender("split-a-1", credential)
//	err := sender.Send(ctx, "10.0.0.3:8082", message)
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
	"github.com/hyssopdoor/hyssopdoor/internal/secret"
)

const (
	// maxMessageBytes bounds one delivery.
	maxMessageBytes = 4 << 20
	credentialField = "Authorization"
)

// SenderProtocols returns the HTTP version that peers speak: HTTP/2 on one
// connection for each pair, whose compressed headers make small messages small.
func SenderProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// ServerProtocols returns the HTTP versions at which peers are heard. HTTP/1 is
// for tools.
func ServerProtocols() *http.Protocols {
	protocols := SenderProtocols()
	protocols.SetHTTP1(true)
	return protocols
}

// Receive takes a message from the named peer.
type Receive func(from string, message *peerv1.Message)

// server implements the generated service.
type server struct {
	receive Receive
}

// NewHandler returns the HTTP handler at which peers deliver messages. Whoever
// lacks the fleet's credential is refused.
func NewHandler(credential secret.Secret, receive Receive) http.Handler {
	path, handler := peerv1connect.NewPeerServiceHandler(
		&server{receive: receive},
		connect.WithInterceptors(checkCredential(credential)),
		connect.WithReadMaxBytes(maxMessageBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return mux
}

// Deliver hands the messages over.
func (s *server) Deliver(_ context.Context, request *connect.Request[peerv1.DeliverRequest]) (*connect.Response[peerv1.DeliverResponse], error) {
	if request.Msg.GetFrom() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("peer.Deliver: the sender is missing"))
	}
	for _, message := range request.Msg.GetMessages() {
		s.receive(request.Msg.GetFrom(), message)
	}
	return connect.NewResponse(&peerv1.DeliverResponse{}), nil
}

func checkCredential(credential secret.Secret) connect.UnaryInterceptorFunc {
	wanted := []byte("Bearer " + credential.Reveal())
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			given := []byte(request.Header().Get(credentialField))
			if subtle.ConstantTimeCompare(given, wanted) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("peer.Deliver: the fleet's credential is missing or wrong"))
			}
			return next(ctx, request)
		}
	}
}
