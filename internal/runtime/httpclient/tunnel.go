package httpclient

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/conncloser"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/framer"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// The header fields of a request for a tunnel (CONNECT) and of its response.
const (
	TunnelServer    = "Tunnel-Server"
	TunnelStartedAt = "Tunnel-Started-At"
	TunnelTimeout   = "Tunnel-Timeout-Ms"
	TunnelLimited   = "Tunnel-Limited"
	TunnelProbe     = "Tunnel-Probe"
	TunnelRequest   = "Tunnel-Request"
	TunnelVerdict   = "Tunnel-Verdict"
	TunnelReferral  = "Tunnel-Referral"
)

// tunnelTimeout limits the time until another instance has opened a connection, or has learned
// that it can't: it may connect to other servers to learn why.
const tunnelTimeout = 600 * time.Millisecond

// Tunnel is a connection to a server that another instance opens. What the server sends arrives in
// frames, so that its end differs from that of the other instance.
type Tunnel struct {
	// Address is the peer address of the other instance.
	Address string
	// Server is the server's identifier and StartedAt its start.
	Server    string
	StartedAt int64
	// Timeout is the time for which the connection may be used, in milliseconds.
	Timeout clock.Millis
	// Limited reports whether the request is counted for a limit that the server names, and Probe
	// whether no request will be sent.
	Limited bool
	Probe   bool
	// RequestID is the identifier that the response to the request must name; empty for none.
	RequestID string
}

// tunnelConn is a connection through another instance.
type tunnelConn struct {
	net.Conn
	reader *framer.Reader
}

// Read reads what the server has sent.
func (c *tunnelConn) Read(buffer []byte) (int, error) { return c.reader.Read(buffer) }

// Close closes the connection to the other instance.
func (c *tunnelConn) Close() error { return conncloser.Close(c.Conn) }

// open opens a connection to the address. Its error is a NotSentError with a verdict.
func (t *Tunnel) open(ctx context.Context, dial func(address string) (net.Conn, error), address string) (net.Conn, error) {
	conn, err := dial(t.Address)
	if err != nil {
		return nil, &NotSentError{Verdict: tunnelverdict.Unavailable, Err: err}
	}
	ctx, cancel := withRunningTime(ctx, tunnelTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader, err := t.request(conn, address)
	if !stop() && err == nil {
		err = &NotSentError{Verdict: tunnelverdict.Unavailable, Err: context.Cause(ctx)}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &tunnelConn{Conn: conn, reader: framer.NewReader(reader)}, nil
}

// request asks for the tunnel on a connection to the other instance. Its error is a NotSentError.
func (t *Tunnel) request(conn net.Conn, address string) (*bufio.Reader, error) {
	header := http.Header{}
	header.Set(TunnelServer, t.Server)
	header.Set(TunnelStartedAt, strconv.FormatInt(t.StartedAt, 10))
	header.Set(TunnelTimeout, strconv.FormatInt(int64(t.Timeout), 10))
	header.Set(TunnelLimited, strconv.FormatBool(t.Limited))
	header.Set(TunnelProbe, strconv.FormatBool(t.Probe))
	header.Set(TunnelRequest, t.RequestID)
	request := Request{Method: http.MethodConnect, Target: address, Host: address, Header: header}
	unavailable := func(err error) error { return &NotSentError{Verdict: tunnelverdict.Unavailable, Err: err} }
	if _, err := conn.Write(request.encode()); err != nil {
		return nil, unavailable(err)
	}
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, unavailable(err)
	}
	verdict := tunnelverdict.Parse(response.Header.Get(TunnelVerdict))
	if verdict != tunnelverdict.Reached || response.StatusCode != http.StatusOK {
		if verdict == tunnelverdict.Reached {
			verdict = tunnelverdict.Unavailable
		}
		return nil, &NotSentError{Verdict: verdict, Referral: response.Header.Get(TunnelReferral), Err: errors.Errorf("no tunnel through %s: %s", t.Address, verdict)}
	}
	return reader, nil
}

// Probe connects to the address, through a tunnel if it is not nil, and closes the connection. It
// also returns the instance that was named instead of the tunnel's; empty for none.
func Probe(ctx context.Context, address string, tunnel *Tunnel) (verdict tunnelverdict.Verdict, referral string) {
	conn, err := connect(ctx, address, Request{Tunnel: tunnel})
	var notSent *NotSentError
	switch {
	case err == nil:
		_ = conn.Close()
		return tunnelverdict.Reached, ""
	case !errors.As(err, &notSent):
		return tunnelverdict.Unavailable, ""
	case tunnel != nil:
		return notSent.Verdict, notSent.Referral
	case notSent.ConnectionRefused:
		return tunnelverdict.Refused, ""
	default:
		return tunnelverdict.Unanswered, ""
	}
}
