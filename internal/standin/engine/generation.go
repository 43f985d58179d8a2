package engine

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
)

// unreadTimeout is the time after which a generation without readers is cancelled.
const unreadTimeout = 10 * time.Second

// generation is the output of an attempt. It is independent of the connections that
// read it, so that a stream can be resumed on a new connection.
type generation struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	events    []string // events are the data of the events generated so far.
	ended     bool
	readers   int
	changed   chan struct{} // changed is closed and replaced at each change.
	idleTimer *time.Timer
}

func newGeneration() *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	g.idleTimer = time.AfterFunc(unreadTimeout, cancel)
	return g
}

// appendEvent appends an event.
func (g *generation) appendEvent(data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, data)
	g.notifyReaders()
}

// finish marks the generation as complete.
func (g *generation) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.notifyReaders()
}

func (g *generation) notifyReaders() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// addReader registers a reader; a generation with readers is not cancelled.
func (g *generation) addReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	g.idleTimer.Stop()
}

func (g *generation) removeReader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.idleTimer.Reset(unreadTimeout)
	}
}

// next waits for the event with the number, counted from 0. It reports false if there
// is no such event or the context ends.
func (g *generation) next(ctx context.Context, number int) (string, bool) {
	for {
		g.mu.Lock()
		changed := g.changed
		if number < len(g.events) {
			data := g.events[number]
			g.mu.Unlock()
			return data, true
		}
		ended := g.ended
		g.mu.Unlock()
		if ended {
			return "", false
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false
		}
	}
}

func (s *Server) crashTrigger() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CrashTrigger
}

// generate waits for the prefill time of the prompt and then generates the events,
// token by token.
func (s *Server) generate(g *generation, body completionRequest, kind completer.Kind, attempt string, stall time.Duration) {
	defer g.finish()
	text := body.renderedPrompt()
	if !s.acquireSlot(g.ctx) {
		s.countCancelled()
		return
	}
	defer s.releaseSlot()
	cachedTokens, processed := s.prefill(g.ctx, body.CacheSalt, text)
	if !processed || !sleep(g.ctx, stall) {
		s.countCancelled()
		return
	}
	if crashTrigger := s.crashTrigger(); crashTrigger != "" && strings.Contains(text, crashTrigger) {
		s.crash()
		return
	}
	tokens := newGenerator(text)
	for i := range body.MaxTokens {
		if !sleep(g.ctx, s.options.DecodePerToken) {
			s.countCancelled()
			return
		}
		token, stop := tokens.next()
		chunk := completer.Chunk{Text: token}
		switch {
		case stop:
			chunk.FinishReason = "stop"
		case i == body.MaxTokens-1:
			chunk.FinishReason = "length"
		}
		var usage *completer.Usage
		if chunk.FinishReason != "" {
			tokenUsage := completer.NewUsage(chunker.EstimateTokens(len(text)), i+1)
			tokenUsage.Details = &completer.UsageDetails{CachedTokens: cachedTokens}
			usage = &tokenUsage
		}
		g.appendEvent(completer.EncodeChunk(kind, attempt, body.Model, chunk, usage))
		if stop {
			break
		}
	}
	g.appendEvent(completer.DoneData)
	s.countFinished()
}
