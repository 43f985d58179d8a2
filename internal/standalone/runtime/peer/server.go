// Package peer exchanges messages between the instances of a cluster over connect-go,
// with one stream of messages for each pair of instances and direction.
//
// # Usage
//
//	handler := peer.NewHandler(credential, handleMessage)
//	sender := peer.NewSender("split-a-1", credential)
//	sender.Send("10.0.0.3:8082", message)
package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
)

const (
	// maxMessageBytes bounds the size of one message on the wire.
	maxMessageBytes  = 4 << 20
	credentialHeader = "Authorization"
)

// MessageHandler handles a message from the peer with the name.
type MessageHandler func(from string, message *peerv1.Message)

// server implements the generated PeerService handler.
type server struct {
	credential    []byte
	handleMessage MessageHandler
}

// SenderProtocols returns the HTTP version with which peers send: unencrypted HTTP/2, on
// one connection for each pair.
func SenderProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// ServerProtocols returns the HTTP versions that the server for peers accepts. HTTP/1 is
// for tools.
func ServerProtocols() *http.Protocols {
	protocols := SenderProtocols()
	protocols.SetHTTP1(true)
	return protocols
}

// NewHandler returns the HTTP handler to which peers send messages. It rejects a stream
// without the cluster's credential before it reads any message.
func NewHandler(credential secret.Secret, handleMessage MessageHandler) http.Handler {
	path, handler := peerv1connect.NewPeerServiceHandler(
		&server{credential: []byte(bearer(credential)), handleMessage: handleMessage},
		connect.WithReadMaxBytes(maxMessageBytes),
	)
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	return mux
}

func bearer(credential secret.Secret) string {
	return "Bearer " + credential.Reveal()
}

// Deliver handles messages until the sender closes the stream.
func (s *server) Deliver(_ context.Context, stream *connect.ClientStream[peerv1.DeliverRequest]) (*connect.Response[peerv1.DeliverResponse], error) {
	given := []byte(stream.RequestHeader().Get(credentialHeader))
	if subtle.ConstantTimeCompare(given, s.credential) != 1 {
		return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("peer.Deliver: the fleet's credential is missing or wrong"))
	}
	for stream.Receive() {
		if stream.Msg().GetFrom() == "" {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("peer.Deliver: the sender is missing"))
		}
		for _, message := range stream.Msg().GetMessages() {
			s.handleMessage(stream.Msg().GetFrom(), message)
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerv1.DeliverResponse{}), nil
}
