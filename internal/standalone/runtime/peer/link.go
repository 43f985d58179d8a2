package peer

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
)

const (
	// maxQueuedMessages bounds the messages that are queued for one peer.
	maxQueuedMessages = 256
	// maxBatchMessages bounds the messages in one DeliverRequest.
	maxBatchMessages = 64
	// sendTimeout bounds the sending of one batch. A timeout ends the stream, and a new
	// one is opened.
	sendTimeout = time.Second
	// reconnectDelay is the delay between a failed stream and the next one.
	reconnectDelay = 200 * time.Millisecond
)

// link sends messages to one peer.
type link struct {
	localName     string
	authorization string
	client        peerv1connect.PeerServiceClient
	ctx           context.Context
	cancel        context.CancelFunc
	queue         chan *peerv1.Message
}

func newLink(localName, authorization string, client peerv1connect.PeerServiceClient) *link {
	ctx, cancel := context.WithCancel(context.Background())
	return &link{localName: localName, authorization: authorization, client: client, ctx: ctx, cancel: cancel, queue: make(chan *peerv1.Message, maxQueuedMessages)}
}

// enqueue queues the message. It reports false if the queue is full.
func (l *link) enqueue(message *peerv1.Message) bool {
	select {
	case l.queue <- message:
		return true
	default:
		return false
	}
}

// run sends queued messages until none has been queued for the idle timeout. After a
// failure it discards the queue, because the messages are outdated by then.
func (l *link) run() {
	defer l.cancel()
	for l.ctx.Err() == nil {
		if l.streamUntilIdle() {
			return
		}
		select {
		case <-time.After(reconnectDelay):
		case <-l.ctx.Done():
		}
		l.discardQueue()
	}
}

func (l *link) discardQueue() {
	for len(l.queue) > 0 {
		<-l.queue
	}
}

// streamUntilIdle opens a stream and sends queued messages on it. It reports true when the
// idle timeout has passed or the link is closed, and false when the stream has failed.
func (l *link) streamUntilIdle() bool {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	stream := l.client.Deliver(ctx)
	stream.RequestHeader().Set(credentialHeader, l.authorization)
	for {
		first, ok := l.dequeue()
		if !ok {
			_, _ = stream.CloseAndReceive()
			return true
		}
		if !l.sendBatch(stream, cancel, l.batch(first)) {
			return false
		}
	}
}

// dequeue waits for a message. It reports false when the idle timeout has passed or the
// link is closed.
func (l *link) dequeue() (*peerv1.Message, bool) {
	idle := time.NewTimer(idleTimeout)
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

// batch returns a request with the message and those queued after it, up to
// maxBatchMessages.
func (l *link) batch(first *peerv1.Message) *peerv1.DeliverRequest {
	request := &peerv1.DeliverRequest{From: l.localName, Messages: []*peerv1.Message{first}}
	for len(l.queue) > 0 && len(request.Messages) < maxBatchMessages {
		request.Messages = append(request.Messages, <-l.queue)
	}
	return request
}

// sendBatch sends the request and cancels the stream after sendTimeout. It reports whether
// the request was sent.
func (l *link) sendBatch(stream *connect.ClientStreamForClient[peerv1.DeliverRequest, peerv1.DeliverResponse], cancel context.CancelFunc, request *peerv1.DeliverRequest) bool {
	timer := time.AfterFunc(sendTimeout, cancel)
	defer timer.Stop()
	return stream.Send(request) == nil
}
