package edge

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/conncloser"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/framer"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/httpclient"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/inputpoller"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	// tunnelBufferBytes is the size of the buffer for each direction of a tunnel.
	tunnelBufferBytes = 4 << 10
	// maxTunnelHeadBytes limits the bytes that are kept to read the head of a response; a longer
	// one is not read.
	maxTunnelHeadBytes = 64 << 10
	// tunnelRefusalTimeout limits the time to write a refusal, or the head of a tunnel.
	tunnelRefusalTimeout = time.Second
	// tunnelAckTimeout is the time for which another instance may take no data of a response. It
	// reads no more while its caller does not, which it allows for up to 5 s at a time
	// (httpserver). With 4 s, streams of callers that paused were cut.
	tunnelAckTimeout = 10 * clock.Second
	// peerCheckInterval is the interval at which a blocked write to a server checks whether the other
	// instance has left.
	peerCheckInterval = 20 * time.Millisecond
)

// tunnelNumber numbers the tunnels for other instances.
var tunnelNumber atomic.Int64

// headEnd is the empty line that ends a head.
var headEnd = []byte("\r\n\r\n")

// tunnelOf returns how a dispatch or probe is sent; nil for a connection of this instance.
func tunnelOf(hop forwarder.Hop, server string, startedAt int64) *httpclient.Tunnel {
	if hop.Direct() {
		return nil
	}
	return &httpclient.Tunnel{Address: hop.Address, Server: server, StartedAt: startedAt}
}

// probePath connects to a server without a request.
func (e *Edge) probePath(probe forwarder.ProbePath) {
	tunnel := tunnelOf(probe.Via, probe.Server, probe.StartedAt)
	if tunnel != nil {
		tunnel.Probe = true
	}
	verdict, referral := httpclient.Probe(e.ctx, probe.Address, tunnel)
	e.machine.submit(forwarder.PathProbed{Server: probe.Server, StartedAt: probe.StartedAt, Via: probe.Via, BeganAt: probe.BeganAt, Verdict: verdict, Referral: referral})
}

// serveTunnel opens a connection to a server for another instance, if the state machine admits it,
// and copies bytes between the two until one of them ends.
func (e *Edge) serveTunnel(w http.ResponseWriter, r *http.Request) {
	startedAt, err := strconv.ParseInt(r.Header.Get(httpclient.TunnelStartedAt), 10, 64)
	timeout, timeoutErr := strconv.ParseInt(r.Header.Get(httpclient.TunnelTimeout), 10, 64)
	if err != nil || timeoutErr != nil {
		http.Error(w, "the start of the server or the timeout is not a number", http.StatusBadRequest)
		return
	}
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	id := "tunnel-" + strconv.FormatInt(tunnelNumber.Add(1), 10)
	actions, ok := e.machine.register(id)
	if !ok {
		writeRefusal(w, tunnelverdict.Stopping, "")
		return
	}
	defer e.machine.unregister(id)
	defer e.machine.submit(forwarder.TunnelEnded{Tunnel: id})
	e.machine.submit(forwarder.TunnelRequested{
		Tunnel: id, From: from, Server: r.Header.Get(httpclient.TunnelServer), StartedAt: startedAt, Timeout: clock.Millis(max(0, timeout)),
		Limited: r.Header.Get(httpclient.TunnelLimited) == "true", Probe: r.Header.Get(httpclient.TunnelProbe) == "true",
	})
	for {
		var action forwarder.Action
		select {
		case action = <-actions:
		case <-e.ctx.Done():
			return
		}
		switch action := action.(type) {
		case forwarder.OpenTunnel:
			if e.runTunnel(w, r, action) {
				return
			}
		case forwarder.RefuseTunnel:
			e.meter.Add("tunnelsRefused", 1)
			writeRefusal(w, action.Verdict, action.Referral)
			return
		}
	}
}

func writeRefusal(w http.ResponseWriter, verdict tunnelverdict.Verdict, referral string) {
	w.Header().Set(httpclient.TunnelVerdict, verdict.String())
	if referral != "" {
		w.Header().Set(httpclient.TunnelReferral, referral)
	}
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runTunnel connects to the server and copies bytes. It reports false if the connect has failed;
// then the state machine decides what that shows.
func (e *Edge) runTunnel(w http.ResponseWriter, r *http.Request, open forwarder.OpenTunnel) bool {
	ctx, cancel := context.WithTimeout(e.ctx, open.Timeout.Duration())
	defer cancel()
	if !before(open.SendBefore)() {
		writeRefusal(w, tunnelverdict.HeldBack, "")
		return true
	}
	// The context of the request ends when the other instance leaves.
	stopConnect := context.AfterFunc(r.Context(), cancel)
	server, err := httpclient.Connect(ctx, open.Address)
	if !stopConnect() {
		// The end of the connect shows nothing about the server.
		if err == nil {
			_ = server.Close()
		}
		return true
	}
	connected := forwarder.TunnelConnected{Tunnel: open.Tunnel, Verdict: tunnelverdict.Reached}
	if err != nil {
		connected.Verdict = tunnelverdict.Unanswered
		var notSent *httpclient.NotSentError
		if errors.As(err, &notSent) && notSent.ConnectionRefused {
			connected.Verdict = tunnelverdict.Refused
		}
		e.machine.submit(connected)
		return false
	}
	defer conncloser.Close(server)
	e.machine.submit(connected)
	e.meter.Add("tunnelsOpened", 1)
	peer, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	defer peer.Close()
	if !greet(peer) || open.Probe {
		return true
	}
	stop := context.AfterFunc(ctx, func() { _ = peer.Close(); _ = conncloser.Close(server) })
	defer stop()
	go func() {
		defer e.recoverPanic("tunnel")
		// The other instance ends the request by closing its connection.
		buffer := make([]byte, tunnelBufferBytes)
		_, _ = io.CopyBuffer(&requestWriter{target: &serverWriter{server: server, peer: peer}, allowed: before(open.SendBefore)}, readerOnly{buffered.Reader}, buffer)
		_ = conncloser.Close(server)
		_ = peer.Close()
	}()
	e.copyResponse(peer, server, open, r.Header.Get(httpclient.TunnelRequest))
	return true
}

// greet prepares the connection to the other instance and tells it that the tunnel is open.
func greet(peer net.Conn) bool {
	if conn, ok := peer.(*net.TCPConn); ok && httpclient.DetectSilence(conn, tunnelAckTimeout) != nil {
		return false
	}
	if peer.SetDeadline(time.Now().Add(tunnelRefusalTimeout)) != nil {
		return false
	}
	_, err := io.WriteString(peer, "HTTP/1.1 200 OK\r\n"+httpclient.TunnelVerdict+": "+tunnelverdict.Reached.String()+"\r\n\r\n")
	return err == nil && peer.SetDeadline(time.Time{}) == nil
}

// copyResponse copies what the server sends. The end is marked only if the server has ended its
// side in order.
func (e *Edge) copyResponse(peer, server net.Conn, open forwarder.OpenTunnel, requestID string) {
	writer := framer.NewWriter(peer)
	collector := &headCollector{}
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := server.Read(buffer)
		if response := collector.add(buffer[:n]); response != nil {
			head := e.platform.DecodeResponse(response, requestID)
			e.notify(open.Server, open.StartedAt)(head.notice(open.Limited, open.Brittle))
		}
		if n > 0 {
			if _, writeErr := writer.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			// An error means that the other instance has left.
			_ = writer.End()
			return
		}
		if err != nil {
			return
		}
	}
}

// headCollector collects the bytes of a response until its head is complete.
type headCollector struct {
	bytes []byte
	done  bool
}

// add returns the response when the head has become complete; else nil.
func (c *headCollector) add(received []byte) *http.Response {
	if c.done || len(received) == 0 {
		return nil
	}
	c.bytes = append(c.bytes, received...)
	for {
		end := bytes.Index(c.bytes, headEnd)
		if end < 0 {
			if len(c.bytes) > maxTunnelHeadBytes {
				c.done, c.bytes = true, nil
			}
			return nil
		}
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(c.bytes)), nil)
		if err == nil && response.StatusCode < http.StatusOK {
			c.bytes = c.bytes[end+len(headEnd):]
			continue
		}
		c.done, c.bytes = true, nil
		if err != nil {
			return nil
		}
		return response
	}
}

// readerOnly hides the method that would copy without the buffer.
type readerOnly struct{ io.Reader }

// serverWriter writes to a server until the other instance closes its connection, which nobody reads
// meanwhile.
type serverWriter struct{ server, peer net.Conn }

// Write writes to the server.
func (w *serverWriter) Write(data []byte) (int, error) {
	written := 0
	for {
		if err := w.server.SetWriteDeadline(time.Now().Add(peerCheckInterval)); err != nil {
			return written, err
		}
		n, err := w.server.Write(data[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) || inputpoller.HasEnded(w.peer) {
			return written, err
		}
	}
}

// requestWriter writes what the other instance sends, if the beginning is still allowed: this
// process may have been paused since the tunnel was admitted.
type requestWriter struct {
	target  io.Writer
	allowed func() bool
	began   bool
}

// Write writes to the server.
func (w *requestWriter) Write(data []byte) (int, error) {
	if !w.began && !w.allowed() {
		return 0, httpclient.ErrExpired
	}
	w.began = true
	return w.target.Write(data)
}
