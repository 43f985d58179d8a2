package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
)

// request is the part of a completion request that the engine reads.
type request struct {
	Model     string              `json:"model"`
	Prompt    string              `json:"prompt"`
	Messages  []completer.Message `json:"messages"`
	MaxTokens int64               `json:"max_tokens"`
	CacheSalt string              `json:"cache_salt"`
	Continue  bool                `json:"continue_final_message"`
}

// text returns what the model sees.
func (r request) text() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	if !r.Continue {
		return completer.RenderChat(r.Messages)
	}
	last := len(r.Messages) - 1
	return completer.RenderChat(r.Messages[:last]) + r.Messages[last].Content
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Requests++
	if r.Header.Get("Authorization") != "" {
		s.counts.SawAuthorization++
	}
	s.mu.Unlock()
	var asked request
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, `{"error":"malformed body"}`, http.StatusBadRequest)
		return
	}
	if !slices.Contains(s.options.Models, asked.Model) {
		http.Error(w, `{"error":"unknown model"}`, http.StatusNotFound)
		return
	}
	faults := s.takeFaults()
	if faults.RefuseBusy > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	stream := &stream{server: s, writer: w, attempt: attempt, cutAfter: -1}
	if faults.Crossed > 0 {
		stream.attempt = "another"
	}
	if faults.Cuts > 0 || faults.Drops > 0 {
		stream.cutAfter = faults.CutAfter
		stream.crash = faults.Cuts > 0
	}
	if last := r.Header.Get("Last-Event-ID"); last != "" {
		s.resume(stream, r, last)
		return
	}
	g := newGeneration()
	s.keep(attempt, g)
	go s.generate(g, asked, kindOf(r), attempt, time.Duration(faults.StallMillis)*time.Millisecond)
	stream.write(r, g, 0)
}

// resume goes on with a stream after the event with the given identifier.
func (s *Server) resume(stream *stream, r *http.Request, last string) {
	attempt, number, _ := strings.Cut(last, ":")
	after, err := strconv.Atoi(number)
	g, ok := s.kept(attempt)
	if err != nil || !ok || after < 0 {
		stream.writer.WriteHeader(http.StatusGone)
		return
	}
	s.mu.Lock()
	s.counts.Resumed++
	s.mu.Unlock()
	stream.write(r, g, after)
}

// keep remembers a stream until some time after its end.
func (s *Server) keep(attempt string, g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generations[attempt] = g
	time.AfterFunc(generationMemory, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.generations, attempt)
	})
}

func (s *Server) kept(attempt string) (*generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.generations[attempt]
	return g, ok
}

// cancelAttempt ends a stream at its reader's word.
func (s *Server) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	g, ok := s.kept(r.PathValue("attempt"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.cancel()
}

func (s *Server) cancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
}

func (s *Server) finished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Finished++
}

func kindOf(r *http.Request) completer.Kind {
	if r.URL.Path == completer.KindChat.Path() {
		return completer.KindChat
	}
	return completer.KindText
}

// stream is one connection that reads a generation.
type stream struct {
	server  *Server
	writer  http.ResponseWriter
	attempt string
	// cutAfter is after how many events the connection is cut; -1 for never. With
	// crash, the generation ends too.
	cutAfter int
	crash    bool
}

// write writes the events after the first ones, until the generation ends or
// the reader goes.
func (s *stream) write(r *http.Request, g *generation, after int) {
	g.attach()
	defer g.detach()
	for number := after; ; number++ {
		if number-after == s.cutAfter {
			if s.crash {
				g.cancel()
			}
			panic(http.ErrAbortHandler)
		}
		data, ok := g.next(r.Context(), number)
		if !ok {
			return
		}
		if number == after {
			s.writer.Header().Set("Content-Type", "text/event-stream")
		}
		s.event(number+1, data)
	}
}

func (s *stream) event(number int, data string) {
	message := &sse.Message{ID: sse.ID(s.attempt + ":" + strconv.Itoa(number))}
	message.AppendData(data)
	_, _ = message.WriteTo(s.writer)
	_ = http.NewResponseController(s.writer).Flush()
}
