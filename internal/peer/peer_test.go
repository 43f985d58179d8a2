package peer_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/peer"
	"github.com/hyssopdoor/hyssopdoor/internal/secret"
)

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	return &countingConn{Conn: connection, bytes: &l.bytes}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// start serves a peer that hands its messages to receive.
func start(t testing.TB, receive peer.Receive) *countingListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counting := &countingListener{Listener: listener}
	server := &http.Server{Handler: peer.NewHandler(secret.New("a-credential-of-the-fleet"), receive), Protocols: peer.ServerProtocols()}
	go func() { _ = server.Serve(counting) }()
	t.Cleanup(func() { _ = server.Close() })
	return counting
}

func message() *peerv1.Message {
	beat := &peerv1.Heartbeat{Domain: "split-a", Address: "10.0.0.1:8082", Incarnation: "0123456789ab", Revision: 120000, Sequence: 86400}
	for shard := range int32(4) {
		beat.Holdings = append(beat.Holdings, &peerv1.Holding{Shard: shard, Instance: "split-a-12", Term: 100})
	}
	return &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: beat}}
}

func TestMessagesArrive(t *testing.T) {
	var mu sync.Mutex
	var got []*peerv1.Message
	listener := start(t, func(from string, message *peerv1.Message) {
		mu.Lock()
		defer mu.Unlock()
		require.Equal(t, "split-a-1", from)
		got = append(got, message)
	})
	sender := peer.NewSender("split-a-1", secret.New("a-credential-of-the-fleet"))
	defer sender.Close()
	require.NoError(t, sender.Send(context.Background(), listener.Addr().String(), message()))
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, got, 1)
	require.Equal(t, "10.0.0.1:8082", got[0].GetHeartbeat().GetAddress())
}

// BenchmarkDeliver measures one heartbeat between two instances, both sides
// together, and its bytes on the connection, both ways.
func BenchmarkDeliver(b *testing.B) {
	listener := start(b, func(string, *peerv1.Message) {})
	sender := peer.NewSender("split-a-1", secret.New("a-credential-of-the-fleet"))
	defer sender.Close()
	b.ReportAllocs()
	for b.Loop() {
		if err := sender.Send(context.Background(), listener.Addr().String(), message()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "bytes/delivery")
}
