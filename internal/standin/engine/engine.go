// Package engine is a small stand-in for a model engine: OpenAI-style streamed
// completions whose text depends only on the prompt, a limited prefix cache, a
// cost for each token, and faults on demand.
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
	"github.com/hyssopdoor/hyssopdoor/internal/standin/replier"
)

// Options are the properties of the stand-in.
type Options struct {
	Name   string
	Models []string
	// PrefillPerToken is the time that one prompt token takes that is not cached.
	PrefillPerToken time.Duration
	// DecodePerToken is the time that one generated token takes.
	DecodePerToken time.Duration
	// CacheChunks bounds the cached chunks.
	CacheChunks int
	// MaxBatch bounds the requests that run at one time; more wait.
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

// generationMemory is how long a stream can be resumed after its beginning.
const generationMemory = 2 * time.Minute

// Faults are the faults on demand, each for the next requests.
type Faults struct {
	// CutAfter cuts the streams of the next Cuts requests after so many tokens.
	CutAfter int `json:"cutAfter"`
	Cuts     int `json:"cuts"`
	// Drops is how many of the next requests lose their connection after CutAfter
	// tokens, while the engine goes on.
	Drops int `json:"drops"`
	// Crossed is how many of the next requests get another attempt's events.
	Crossed int `json:"crossed"`
	// RefuseBusy is how many of the next requests are refused for load.
	RefuseBusy int `json:"refuseBusy"`
	// CrashOn is a text in a prompt that makes the engine crash: it loses all
	// streams and its cache. It stays set.
	CrashOn string `json:"crashOn"`
	// StallMillis delays the first token of every request.
	StallMillis int64 `json:"stallMillis"`
}

// Counts are what the engine has done.
type Counts struct {
	Requests     int64 `json:"requests"`
	Finished     int64 `json:"finished"`
	Cancelled    int64 `json:"cancelled"`
	Resumed      int64 `json:"resumed"`
	Crashes      int64 `json:"crashes"`
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	// SawAuthorization counts requests that carried a key.
	SawAuthorization int64 `json:"sawAuthorization"`
}

// Server is the stand-in's state. It is safe for concurrent use.
type Server struct {
	options Options
	batch   chan struct{}
	prefill sync.Mutex

	mu    sync.Mutex
	cache *cache
	// generations are the streams that can be resumed, by attempt.
	generations map[string]*generation
	faults      Faults
	counts      Counts
}

// New returns an engine with an empty cache.
func New(options Options) *Server {
	return &Server{options: options, batch: make(chan struct{}, options.MaxBatch), cache: newCache(options.CacheChunks), generations: map[string]*generation{}}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.completion)
	mux.HandleFunc("POST /v1/chat/completions", s.completion)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", s.cancelAttempt)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /counts", s.showCounts)
	return mux
}

// Counts returns what the engine has done.
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

// takeFaults returns the faults of one request.
func (s *Server) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.faults
	s.faults.Cuts = max(0, s.faults.Cuts-1)
	s.faults.Drops = max(0, s.faults.Drops-1)
	s.faults.Crossed = max(0, s.faults.Crossed-1)
	s.faults.RefuseBusy = max(0, s.faults.RefuseBusy-1)
	return taken
}

// enter waits for a place in the batch. It reports false when the request is
// gone.
func (s *Server) enter(ctx context.Context) bool {
	select {
	case s.batch <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// process spends the time that the prompt takes, one prompt after the other. It
// returns the tokens that were cached, and false when the request is gone.
func (s *Server) process(ctx context.Context, salt, prompt string) (cached int64, processed bool) {
	chain := chunker.Chain(salt + "\x00" + prompt)
	tokens := chunker.EstimateTokens(len(prompt))
	s.prefill.Lock()
	defer s.prefill.Unlock()
	s.mu.Lock()
	cached = min(tokens, s.cache.hit(chain)*chunker.ChunkTokens)
	s.cache.add(chain[:len(chain)-1])
	s.counts.PromptTokens += tokens
	s.counts.CachedTokens += cached
	s.mu.Unlock()
	return cached, sleep(ctx, time.Duration(tokens-cached)*s.options.PrefillPerToken)
}

// crash loses all streams and the cache.
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

func (s *Server) leave() {
	<-s.batch
}

func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
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
	if replier.Read(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	replier.Write(w, http.StatusOK, s.Counts())
}
