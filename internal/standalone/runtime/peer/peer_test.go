package peer_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/peerv1"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/peer"
)

const credential = "a-credential-of-the-fleet"

// countingListener counts the bytes read and written on its connections.
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

// startServer starts a server for peers that passes each message to handle.
func startServer(t testing.TB, handle peer.MessageHandler) *countingListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	counting := &countingListener{Listener: listener}
	server := &http.Server{Handler: peer.NewHandler(secret.New(credential), handle), Protocols: peer.ServerProtocols()}
	go func() { _ = server.Serve(counting) }()
	t.Cleanup(func() { _ = server.Close() })
	return counting
}

func heartbeat(holdings int32) *peerv1.Message {
	beat := &peerv1.Heartbeat{Domain: "split-a", Address: "10.0.0.1:8082", Incarnation: "0123456789ab", Revision: 120000, Sequence: 86400}
	for shard := range holdings {
		beat.Holdings = append(beat.Holdings, &peerv1.Holding{Shard: shard, Instance: "split-a-12", Term: 100})
	}
	return &peerv1.Message{Body: &peerv1.Message_Heartbeat{Heartbeat: beat}}
}

func TestMessagesArriveInOrder(t *testing.T) {
	const count = 100
	var mu sync.Mutex
	var received []int64
	listener := startServer(t, func(from string, message *peerv1.Message) {
		mu.Lock()
		defer mu.Unlock()
		if from == "split-a-1" {
			received = append(received, message.GetHeartbeat().GetSequence())
		}
	})
	sender := peer.NewSender("split-a-1", secret.New(credential))
	defer sender.Close()
	var want []int64
	for i := range int64(count) {
		next := heartbeat(1)
		next.GetHeartbeat().Sequence = i
		require.True(t, sender.Send(listener.Addr().String(), next))
		want = append(want, i)
	}
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(received) == count
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, want, received)
}

// TestSenderReconnects verifies that messages arrive after a peer has been restarted at
// the same address.
func TestSenderReconnects(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	sender := peer.NewSender("split-a-1", secret.New(credential))
	defer sender.Close()
	for range 3 {
		var received atomic.Int64
		handler := peer.NewHandler(secret.New(credential), func(string, *peerv1.Message) { received.Add(1) })
		server := &http.Server{Handler: handler, Protocols: peer.ServerProtocols()}
		go func() { _ = server.Serve(listener) }()
		require.Eventually(t, func() bool {
			sender.Send(address, heartbeat(1))
			return received.Load() > 0
		}, 5*time.Second, 20*time.Millisecond)
		require.NoError(t, server.Close())
		listener, err = net.Listen("tcp", address)
		require.NoError(t, err)
	}
	require.NoError(t, listener.Close())
}

// BenchmarkDeliver measures the cost of one heartbeat between two instances, on both sides
// together, and the bytes it takes on the connection in both directions, for different
// numbers of holdings.
func BenchmarkDeliver(b *testing.B) {
	for _, holdings := range []int32{0, 4} {
		b.Run(fmt.Sprintf("holdings=%d", holdings), func(b *testing.B) {
			arrived := make(chan struct{}, 1)
			listener := startServer(b, func(string, *peerv1.Message) { arrived <- struct{}{} })
			sender := peer.NewSender("split-a-1", secret.New(credential))
			defer sender.Close()
			b.ReportAllocs()
			for b.Loop() {
				sender.Send(listener.Addr().String(), heartbeat(holdings))
				<-arrived
			}
			b.ReportMetric(float64(listener.bytes.Load())/float64(b.N), "bytes/delivery")
		})
	}
}
