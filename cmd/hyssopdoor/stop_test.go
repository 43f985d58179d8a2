package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/standin/engine"
)

// callerRequest returns a request as it is sent.
func callerRequest(method, path, body string, header http.Header) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", method, path, len(body))
	for name := range header {
		text += name + ": " + header.Get(name) + "\r\n"
	}
	return text + "\r\n" + body
}

// TestStoppingInstanceAnswersAcceptedRequests stops an instance by SIGTERM under callers that use
// each connection until its end is announced, with one or several requests at a time, and open
// new ones until the listener is closed. Each request must have an answer. The kernel may accept a
// connection between the last look at the listener and its end; such a connection is reset.
func TestStoppingInstanceAnswersAcceptedRequests(t *testing.T) {
	c := startCluster(t, "split-a")
	stopped := c.instances["split-a-1"]
	var callers sync.WaitGroup
	var mu sync.Mutex
	answers, unaccepted, failures := map[int]int{}, 0, []string{}
	for n := range 16 {
		callers.Go(func() {
			for {
				conn, err := net.Dial("tcp", stopped.callerAddress)
				if err != nil {
					return
				}
				reader := bufio.NewReader(conn)
				for number, open := 0, true; open; number++ {
					text := callerRequest(http.MethodPost, "/v1/completions", `{"model":"notes","prompt":"transect","max_tokens":8,"stream":true}`, c.authHeader())
					pipelined := 1 + 2*(n%2)
					_, writeErr := io.WriteString(conn, strings.Repeat(text, pipelined))
					for i := 0; i < pipelined && open; i++ {
						_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
						response, err := http.ReadResponse(reader, nil)
						if err == nil {
							_, err = io.ReadAll(response.Body)
						}
						mu.Lock()
						switch {
						case err == nil:
							answers[response.StatusCode]++
						case number+i == 0 && errors.Is(errors.Join(err, writeErr), syscall.ECONNRESET):
							unaccepted++
						default:
							failures = append(failures, fmt.Sprint("caller ", n, ", request ", number, ", ", i, ": ", err))
						}
						mu.Unlock()
						open = err == nil && !response.Close
					}
					time.Sleep(time.Duration(n) * time.Millisecond)
				}
				_ = conn.Close()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return answers[http.StatusOK] > 100
	}, startTimeout, 5*time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	callers.Wait()
	require.NoError(t, <-stopped.exited)
	t.Log(answers, unaccepted)
	require.Empty(t, failures)
	require.LessOrEqual(t, unaccepted, 8, "of 16 callers")
}

// TestStoppingInstanceAnswersUnfinishedRequests verifies that requests which can't be completed
// within the drain timeout get an answer that doesn't say that they have not run.
func TestStoppingInstanceAnswersUnfinishedRequests(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\ndrain = 2s\n", "split-a")
	stopped := c.instances["split-a-1"]
	require.Eventually(t, func() bool {
		response, _ := c.mustSendOrder("split-a-1", "before", "order")
		return response.StatusCode == http.StatusCreated
	}, startTimeout, 50*time.Millisecond)
	c.servers["ordering-split-a"].pause()
	c.servers["engine-split-a"].pause()
	orderHeader := c.authHeader()
	orderHeader.Set("Idempotency-Key", "unfinished")
	requests := map[string]string{
		"order":      callerRequest(http.MethodPost, "/services/ordering/orders", "order", orderHeader),
		"completion": callerRequest(http.MethodPost, "/v1/completions", `{"model":"notes","prompt":"transect","max_tokens":8,"stream":true}`, c.authHeader()),
	}
	conns := map[string]net.Conn{}
	for name, text := range requests {
		conn, err := net.Dial("tcp", stopped.callerAddress)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		conns[name] = conn
	}
	time.Sleep(300 * time.Millisecond)
	stopped.signal(syscall.SIGTERM)
	for name, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, name)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s: %s", name, body)
		require.Contains(t, string(body), `"notRun":false`, name)
	}
	require.Error(t, <-stopped.exited, "the exit code tells that requests were in flight")
}

// TestStoppingInstanceAnswersUnrecordedOrder stops the platform, so that an order which arrives in the
// drain can't be recorded. It has not run, and another instance must be able to run it.
func TestStoppingInstanceAnswersUnrecordedOrder(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\ndrain = 2s\n", "split-a", "split-b")
	stopped := c.instances["split-a-1"]
	c.platform.pause()
	stopped.signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond)
	conn, err := net.Dial("tcp", stopped.callerAddress)
	require.NoError(t, err)
	defer conn.Close()
	header := c.authHeader()
	header.Set("Idempotency-Key", "unrecorded")
	_, err = io.WriteString(conn, callerRequest(http.MethodPost, "/services/ordering/orders", "order", header))
	require.NoError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "%s", body)
	require.Contains(t, string(body), `"notRun":true`)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	c.platform.signal(syscall.SIGCONT)
	require.Eventually(t, func() bool {
		status, _ := c.sendOrder("split-b-1", "unrecorded", "order")
		return status == http.StatusCreated
	}, startTimeout, 50*time.Millisecond)
	require.Equal(t, 1, c.recordCount("order"))
}

// TestStoppingInstanceAnswersOperators stops the platform, so that an operator's change can't be
// completed. The operator must learn whether it may have taken effect.
func TestStoppingInstanceAnswersOperators(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\ndrain = 2s\n", "split-a")
	c.platform.pause()
	result := make(chan error)
	go func() {
		_, err := c.operatorClient("split-a-1").IssueKey(context.Background(), "crew")
		result <- err
	}()
	time.Sleep(300 * time.Millisecond)
	c.instances["split-a-1"].signal(syscall.SIGTERM)
	require.ErrorContains(t, <-result, "nothing was changed")
}

// longStream returns the body of a request for a stream of the number of tokens.
func longStream(tokens int64) string {
	for n := 0; ; n++ {
		prompt := fmt.Sprint("transect ", n)
		if strings.Count(engine.Expected(prompt, tokens), " ") == int(tokens) {
			return fmt.Sprintf(`{"model":"notes","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
		}
	}
}

// TestStreamSentLateInDrainIsNotCut sends a stream on a connection that was kept open, because the
// stream before it began before the stop, when less time is left than it needs. Another request
// follows it without waiting.
func TestStreamSentLateInDrainIsNotCut(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\ndrain = 3500ms\n", "split-a", "split-b")
	stopped := c.instances["split-a-1"]
	conn, err := net.Dial("tcp", stopped.callerAddress)
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	lateBody := longStream(900)
	late := callerRequest(http.MethodPost, "/v1/completions", lateBody, c.authHeader())
	_, err = io.WriteString(conn, callerRequest(http.MethodPost, "/v1/completions", longStream(600), c.authHeader()))
	require.NoError(t, err)
	first, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	stopped.signal(syscall.SIGTERM)
	body, err := io.ReadAll(first.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "[DONE]")
	require.False(t, first.Close)
	runs := c.engineCounts("engine-split-a").Requests + c.engineCounts("engine-split-b").Requests
	_, err = io.WriteString(conn, late+late)
	require.NoError(t, err)
	second, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err = io.ReadAll(second.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, second.StatusCode, "%.200s ... %s", body, body[max(0, len(body)-300):])
	require.Contains(t, string(body), `"notRun":true`)
	require.Equal(t, "1", second.Header.Get("Retry-After"))
	require.True(t, second.Close)
	_, err = http.ReadResponse(reader, nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, runs, c.engineCounts("engine-split-a").Requests+c.engineCounts("engine-split-b").Requests)
	require.NoError(t, <-stopped.exited)
	response, again := c.mustSend("split-b-1", http.MethodPost, "/v1/completions", lateBody, c.authHeader())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, again, "[DONE]")
}

// TestStreamThatBeginsTooLateInDrainIsRefused delays the first token of a stream for longer than was to
// be expected. The stream must not begin for the caller, as it would be cut.
func TestStreamThatBeginsTooLateInDrainIsRefused(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\ndrain = 4s\n", "split-a", "split-b")
	body := longStream(100)
	response, text := c.mustSend("split-a-1", http.MethodPost, "/v1/completions", body, c.authHeader())
	require.Equal(t, http.StatusOK, response.StatusCode, text)
	for _, name := range []string{"engine-split-a", "engine-split-b"} {
		c.setFaults(c.serverAddresses[name], engine.Faults{StallMillis: 3250})
	}
	c.instances["split-a-1"].signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	response, text = c.mustSend("split-a-1", http.MethodPost, "/v1/completions", body, c.authHeader())
	require.Equal(t, http.StatusBadGateway, response.StatusCode, text)
	require.Contains(t, text, `"notRun":false`)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
}

// TestLastInstanceServesInDrain stops the only instance. As no other one can take its quota, it must go
// on granting tokens to the requests that still arrive.
func TestLastInstanceServesInDrain(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\nannounce = 3s\n", "split-a")
	body := `{"model":"notes","prompt":"transect","max_tokens":8,"stream":true}`
	response, text := c.mustSend("split-a-1", http.MethodPost, "/v1/completions", body, c.authHeader())
	require.Equal(t, http.StatusOK, response.StatusCode, text)
	c.instances["split-a-1"].signal(syscall.SIGTERM)
	for range 12 {
		time.Sleep(200 * time.Millisecond)
		response, text = c.mustSend("split-a-1", http.MethodPost, "/v1/completions", body, c.authHeader())
		require.Equal(t, http.StatusOK, response.StatusCode, text)
	}
	select {
	case err := <-c.instances["split-a-1"].exited:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the instance did not exit when its callers were gone")
	}
	c.startInstance("split-a-1", "split-a")
	require.Eventually(t, func() bool {
		response, _, err := c.send("split-a-1", http.MethodPost, "/v1/completions", body, c.authHeader())
		return err == nil && response.StatusCode == http.StatusOK
	}, 2*time.Second, 20*time.Millisecond, "the quota was not released")
}

// TestResponseThatBeginsInDrainEndsConnection stops an instance between the arrival of a request and
// its response. The caller must learn from the response that the connection ends.
func TestResponseThatBeginsInDrainEndsConnection(t *testing.T) {
	c := startCluster(t, "split-a")
	for name, stream := range map[string]bool{"stream": true, "whole response": false} {
		t.Run(name, func(t *testing.T) {
			instance := c.startInstance("split-a-"+name[:2], "split-a")
			c.waitReady()
			c.setFaults(c.serverAddresses["engine-split-a"], engine.Faults{StallMillis: 1500})
			time.AfterFunc(500*time.Millisecond, func() { instance.signal(syscall.SIGTERM) })
			body := fmt.Sprintf(`{"model":"notes","prompt":"transect","max_tokens":8,"stream":%t}`, stream)
			response, text, err := sendTo(context.Background(), instance.callerAddress, http.MethodPost, "/v1/completions", body, c.authHeader())
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode, text)
			require.True(t, response.Close)
			require.NoError(t, <-instance.exited)
			delete(c.instances, instance.name)
		})
	}
}

// TestBodyThatArrivesAtEndOfDrainIsAnswered sends a part of a body before a stop and one in it, and
// nothing more.
func TestBodyThatArrivesAtEndOfDrainIsAnswered(t *testing.T) {
	c := startClusterWith(t, "[timeouts]\ndrain = 2s\n", "split-a", "split-b")
	stopped := c.instances["split-a-1"]
	text := callerRequest(http.MethodPost, "/v1/completions", `{"model":"notes","prompt":"transect","max_tokens":8}`, c.authHeader())
	conns := []net.Conn{}
	for n := range 2 {
		if n == 1 {
			stopped.signal(syscall.SIGTERM)
			time.Sleep(200 * time.Millisecond)
		}
		conn, err := net.Dial("tcp", stopped.callerAddress)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, text[:len(text)-10])
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
		conns = append(conns, conn)
	}
	for n, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, n)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "%s", body)
		require.Contains(t, string(body), `"notRun":true`)
		require.Equal(t, "1", response.Header.Get("Retry-After"))
		require.True(t, response.Close)
	}
}
