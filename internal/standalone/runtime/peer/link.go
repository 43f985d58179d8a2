package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
)

const (
	// maxWaiting bounds the messages that wait for one peer.
	maxWaiting = 256
	// maxTogether bounds the messages that are sent together.
	maxTogether = 64
	// sendTimeout bounds one sending; after it the stream is made anew.
	sendTimeout = time.Second
	// reopenPause is the time from a failed stream to the next.
	reopenPause = 200 * time.Millisecond
)

// link is the stream of messages to one peer.
type link struct {
	self   string
	bearer string
	client peerv1connect.PeerServiceClient
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan *peerv1.Message
}

func newLink(self, bearer string, client peerv1connect.PeerServiceClient) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{self: self, bearer: bearer, client: client, ctx: ctx, cancel: cancel, queue: make(chan *peerv1.Message, maxWaiting)}
}

func (l *link) put(message *peerv1.Message) bool {
	select {
	case l.queue <- message:
		return true
	default:
		return false
	}
}

// run sends what is put, until nothing comes for the idle time. After a failure
// the messages that wait are dropped: they are old by then.
func (l *link) run() {
	defer l.cancel()
	for l.ctx.Err() == nil {
		if l.stream() {
			return
		}
		select {
		case <-time.After(reopenPause):
		case <-l.ctx.Done():
		}
		l.drop()
	}
}

func (l *link) drop() {
	for len(l.queue) > 0 {
		<-l.queue
	}
}

// stream opens a stream and sends on it. It reports true when the idle time has
// passed, and false when the stream failed.
func (l *link) stream() bool {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stream := l.client.Deliver(ctx)
	stream.RequestHeader().Set(credentialField, l.bearer)
	for {
		first, ok := l.next()
		if !ok {
			_, _ = stream.CloseAndReceive()
			return true
		}
		if !l.send(stream, cancel, l.together(first)) {
			return false
		}
	}
}

// next waits for a message. It reports false when the link ends.
func (l *link) next() (*peerv1.Message, bool) {
	idle := time.NewTimer(idleTime)
	defer idle.Stop()
	select {
	case message := <-l.queue:
		return message, true
	case <-idle.C:
		return nil, false
	case <-l.ctx.Done():
		return nil, false
	}
}

// together returns the message and those that wait behind it.
func (l *link) together(first *peerv1.Message) *peerv1.DeliverRequest {
	request := &peerv1.DeliverRequest{From: l.self, Messages: []*peerv1.Message{first}}
	for len(l.queue) > 0 && len(request.Messages) < maxTogether {
		request.Messages = append(request.Messages, <-l.queue)
	}
	return request
}

func (l *link) send(stream *connect.ClientStreamForClient[peerv1.DeliverRequest, peerv1.DeliverResponse], cancel context.CancelFunc, request *peerv1.DeliverRequest) bool {
	timer := time.AfterFunc(sendTimeout, cancel)
	defer timer.Stop()
	return stream.Send(request) == nil
}
