// Package engine simulates a model engine: OpenAI-style streamed completions whose
// text depends only on the prompt, a limited prefix cache, a time cost per token and
// fault injection.
//
// # Usage
//
//	server := engine.New(engine.Defaults("engine-1", "scarp"))
//	http.Serve(listener, server.Handler())
//	text := engine.Expected(prompt, maxTokens)
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/jsonhttp"
)

// Options configure the simulated engine.
type Options struct {
	Name   string
	Models []string
	// PrefillPerToken is the time per uncached prompt token.
	PrefillPerToken time.Duration
	// DecodePerToken is the time per generated token.
	DecodePerToken time.Duration
	// CacheChunks is the maximum number of cached chunks.
	CacheChunks int
	// MaxBatch is the maximum number of concurrent requests; further ones wait.
	MaxBatch int
}

// Defaults returns the options of an engine that serves the models.
func Defaults(name string, models ...string) Options {
	return Options{
		Name:            name,
		Models:          models,
		PrefillPerToken: 20 * time.Microsecond,
		DecodePerToken:  2 * time.Millisecond,
		CacheChunks:     512,
		MaxBatch:        32,
	}
}

// generationRetention is the time for which a stream can be resumed, counted from its
// start.
const generationRetention = 2 * time.Minute

// Faults are the injected faults. The counts apply to the next requests and decrease by
// one with each; CrashTrigger and StallMillis stay set.
type Faults struct {
	// CutAfterTokens is the number of tokens after which AbortedStreams and
	// DroppedConnections cut a connection.
	CutAfterTokens int `json:"cutAfter"`
	// AbortedStreams is the number of next requests whose connection is cut and whose
	// generation is cancelled.
	AbortedStreams int `json:"cuts"`
	// DroppedConnections is the number of next requests whose connection is cut while
	// the generation continues.
	DroppedConnections int `json:"drops"`
	// MismatchedResponses is the number of next requests that receive events of another
	// attempt.
	MismatchedResponses int `json:"crossed"`
	// RejectedRequests is the number of next requests that are rejected as overloaded.
	RejectedRequests int `json:"refuseBusy"`
	// CrashTrigger makes the engine crash on every prompt that contains this text: it
	// loses all streams and its cache.
	CrashTrigger string `json:"crashOn"`
	// StallMillis delays the first token of every request.
	StallMillis int64 `json:"stallMillis"`
}

// Counts are the engine's counters.
type Counts struct {
	Requests     int64 `json:"requests"`
	Finished     int64 `json:"finished"`
	Cancelled    int64 `json:"cancelled"`
	Resumed      int64 `json:"resumed"`
	Crashes      int64 `json:"crashes"`
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	// WithAuthorization counts requests with an Authorization header.
	WithAuthorization int64 `json:"sawAuthorization"`
}

// Server is a simulated model engine. It is safe for concurrent use.
type Server struct {
	options   Options
	slots     chan struct{}
	prefillMu sync.Mutex

	mu    sync.Mutex
	cache *cache
	// generations are the generations that can be resumed, by attempt.
	generations map[string]*generation
	faults      Faults
	counts      Counts
}

// New returns an engine with an empty cache.
func New(options Options) *Server {
	return &Server{options: options, slots: make(chan struct{}, options.MaxBatch), cache: newCache(options.CacheChunks), generations: map[string]*generation{}}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", s.handleCompletion)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", s.cancelAttempt)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /counts", s.showCounts)
	return mux
}

// Counts returns the current counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetFaults sets the faults for the next requests.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// consumeFaults returns the faults for one request and reduces the counts.
func (s *Server) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	s.faults.AbortedStreams = max(0, s.faults.AbortedStreams-1)
	s.faults.DroppedConnections = max(0, s.faults.DroppedConnections-1)
	s.faults.MismatchedResponses = max(0, s.faults.MismatchedResponses-1)
	s.faults.RejectedRequests = max(0, s.faults.RejectedRequests-1)
	return faults
}

// acquireSlot waits for a slot in the batch. It reports false if the context ends
// first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// prefill waits for the prefill time of the prompt; prompts are processed one at a
// time. It returns the number of cached tokens, and false if the context ends first.
func (s *Server) prefill(ctx context.Context, salt, prompt string) (cachedTokens int64, processed bool) {
	chain := chunker.Chain(salt + "\x00" + prompt)
	tokens := chunker.EstimateTokens(len(prompt))
	s.prefillMu.Lock()
	defer s.prefillMu.Unlock()
	s.mu.Lock()
	cachedTokens = min(tokens, s.cache.cachedPrefix(chain)*chunker.ChunkTokens)
	s.cache.add(chain[:len(chain)-1])
	s.counts.PromptTokens += tokens
	s.counts.CachedTokens += cachedTokens
	s.mu.Unlock()
	return cachedTokens, sleep(ctx, time.Duration(tokens-cachedTokens)*s.options.PrefillPerToken)
}

// crash cancels all generations and clears the cache.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Crashes++
	for _, g := range s.generations {
		g.cancel()
	}
	s.generations = map[string]*generation{}
	s.cache = newCache(s.options.CacheChunks)
}

func (s *Server) releaseSlot() {
	<-s.slots
}

// sleep waits for the duration. It reports false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if jsonhttp.ReadJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Counts())
}
