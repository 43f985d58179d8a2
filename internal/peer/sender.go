package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
	"github.com/hyssopdoor/hyssopdoor/internal/secret"
)

// sendTimeout bounds one delivery.
const sendTimeout = time.Second

// Sender delivers messages to peers. It is safe for concurrent use.
type Sender struct {
	self       string
	credential secret.Secret
	http       *http.Client
}

// NewSender returns the Sender of the named instance.
func NewSender(self string, credential secret.Secret) *Sender {
	transport := &http.Transport{IdleConnTimeout: time.Minute, Protocols: SenderProtocols()}
	return &Sender{self: self, credential: credential, http: &http.Client{Transport: transport}}
}

// Send delivers one message to the peer at the address, given as host:port. It
// is not tried again.
func (s *Sender) Send(ctx context.Context, address string, message *peerv1.Message) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	client := peerv1connect.NewPeerServiceClient(s.http, "http://"+address)
	request := connect.NewRequest(&peerv1.DeliverRequest{From: s.self, Messages: []*peerv1.Message{message}})
	request.Header().Set(credentialField, "Bearer "+s.credential.Reveal())
	if _, err := client.Deliver(ctx, request); err != nil {
		return errors.Wrap(err, "peer.Send")
	}
	return nil
}

// Close ends the idle connections.
func (s *Sender) Close() {
	s.http.CloseIdleConnections()
}
