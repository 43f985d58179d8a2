package engine

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
)

// keepFor is how long a stream that nobody reads goes on before it is cancelled.
const keepFor = 10 * time.Second

// generation is a stream that is made, apart from the connections that read it.
type generation struct {
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	events  []string // events are the data of the events so far.
	ended   bool
	readers int
	changed chan struct{} // changed is closed and made anew at each change.
	idle    *time.Timer
}

func newGeneration() *generation {
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{ctx: ctx, cancel: cancel, changed: make(chan struct{})}
	g.idle = time.AfterFunc(keepFor, cancel)
	return g
}

// add appends an event.
func (g *generation) add(data string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.events = append(g.events, data)
	g.wake()
}

// end marks that no event follows.
func (g *generation) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.wake()
}

func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// attach counts a reader; a stream with readers is not cancelled.
func (g *generation) attach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers++
	g.idle.Stop()
}

func (g *generation) detach() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers--
	if g.readers == 0 {
		g.idle.Reset(keepFor)
	}
}

// next waits for the event with the number, from 0. It reports false when there
// is none.
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

func (s *Server) crashOn() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.CrashOn
}

// generate makes the stream: the time of the prompt, then token by token.
func (s *Server) generate(g *generation, asked request, kind completer.Kind, attempt string, stall time.Duration) {
	defer g.end()
	text := asked.text()
	if !s.enter(g.ctx) {
		s.cancelled()
		return
	}
	defer s.leave()
	cached, processed := s.process(g.ctx, asked.CacheSalt, text)
	if !processed || !sleep(g.ctx, stall) {
		s.cancelled()
		return
	}
	if crashOn := s.crashOn(); crashOn != "" && strings.Contains(text, crashOn) {
		s.crash()
		return
	}
	tokens := newGenerator(text)
	for i := range asked.MaxTokens {
		if !sleep(g.ctx, s.options.DecodePerToken) {
			s.cancelled()
			return
		}
		token, stop := tokens.next()
		chunk := completer.Chunk{Text: token}
		switch {
		case stop:
			chunk.FinishReason = "stop"
		case i == asked.MaxTokens-1:
			chunk.FinishReason = "length"
		}
		var usage *completer.Usage
		if chunk.FinishReason != "" {
			counted := completer.NewUsage(chunker.EstimateTokens(len(text)), i+1)
			counted.Details = &completer.UsageDetails{CachedTokens: cached}
			usage = &counted
		}
		g.add(completer.EncodeChunk(kind, attempt, asked.Model, chunk, usage))
		if stop {
			break
		}
	}
	g.add(completer.DoneData)
	s.finished()
}
