package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
)

// idleTimeout is the time without a message after which a stream is closed.
const idleTimeout = time.Minute

// Sender sends messages to peers. It is safe for concurrent use.
type Sender struct {
	localName  string
	credential secret.Secret
	http       *http.Client

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// NewSender returns the Sender of the instance with the name.
func NewSender(localName string, credential secret.Secret) *Sender {
	transport := &http.Transport{IdleConnTimeout: idleTimeout, Protocols: SenderProtocols()}
	return &Sender{localName: localName, credential: credential, http: &http.Client{Transport: transport}, links: map[string]*link{}}
}

// Send queues the message for the peer at the address, given as host:port. Delivery is
// best effort: Send does not block and nothing is retried, so callers must tolerate lost
// messages. It reports false if the queue is full or the Sender is closed.
func (s *Sender) Send(address string, message *peerv1.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	peerLink, ok := s.links[address]
	if !ok {
		client := peerv1connect.NewPeerServiceClient(s.http, "http://"+address)
		peerLink = newLink(s.localName, bearer(s.credential), client)
		s.links[address] = peerLink
		go func() {
			peerLink.run()
			s.removeLink(address, peerLink)
		}()
	}
	return peerLink.enqueue(message)
}

// removeLink removes a link that has ended, unless a new one has replaced it.
func (s *Sender) removeLink(address string, ended *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[address] == ended {
		delete(s.links, address)
	}
}

// Close closes all streams.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, peerLink := range s.links {
		peerLink.cancel()
	}
	s.http.CloseIdleConnections()
}
