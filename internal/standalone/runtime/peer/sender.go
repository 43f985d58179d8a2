package peer

import (
	"net/http"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1/peerv1connect"
)

// idleTime is after how long without a message a stream is ended.
const idleTime = time.Minute

// Sender delivers messages to peers. It is safe for concurrent use.
type Sender struct {
	self       string
	credential secret.Secret
	http       *http.Client

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// NewSender returns the Sender of the named instance.
func NewSender(self string, credential secret.Secret) *Sender {
	transport := &http.Transport{IdleConnTimeout: idleTime, Protocols: SenderProtocols()}
	return &Sender{self: self, credential: credential, http: &http.Client{Transport: transport}, links: map[string]*link{}}
}

// Send delivers the message to the peer at the address, given as host:port, when
// it can. It does not wait, and nothing is tried again: a lost message is the
// business of who sent it. It reports false when too many messages wait.
func (s *Sender) Send(address string, message *peerv1.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	to, ok := s.links[address]
	if !ok {
		client := peerv1connect.NewPeerServiceClient(s.http, "http://"+address)
		to = newLink(s.self, bearer(s.credential), client)
		s.links[address] = to
		go func() {
			to.run()
			s.forget(address, to)
		}()
	}
	return to.put(message)
}

func (s *Sender) forget(address string, ended *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[address] == ended {
		delete(s.links, address)
	}
}

// Close ends all streams.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, to := range s.links {
		to.cancel()
	}
	s.http.CloseIdleConnections()
}
