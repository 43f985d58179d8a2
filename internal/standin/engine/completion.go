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

// completionRequest has the fields of a completion request that the engine reads.
type completionRequest struct {
	Model     string              `json:"model"`
	Prompt    string              `json:"prompt"`
	Messages  []completer.Message `json:"messages"`
	MaxTokens int64               `json:"max_tokens"`
	CacheSalt string              `json:"cache_salt"`
	Continue  bool                `json:"continue_final_message"`
}

// renderedPrompt returns the text that the model continues.
func (r completionRequest) renderedPrompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	if !r.Continue {
		return completer.RenderChat(r.Messages)
	}
	lastIndex := len(r.Messages) - 1
	return completer.RenderChat(r.Messages[:lastIndex]) + r.Messages[lastIndex].Content
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Requests++
	if r.Header.Get("Authorization") != "" {
		s.counts.WithAuthorization++
	}
	s.mu.Unlock()
	var body completionRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, `{"error":"malformed body"}`, http.StatusBadRequest)
		return
	}
	if !slices.Contains(s.options.Models, body.Model) {
		http.Error(w, `{"error":"unknown model"}`, http.StatusNotFound)
		return
	}
	faults := s.consumeFaults()
	if faults.RejectedRequests > 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	stream := &stream{server: s, writer: w, attempt: attempt, cutAfter: -1}
	if faults.MismatchedResponses > 0 {
		stream.attempt = "another"
	}
	if faults.AbortedStreams > 0 || faults.DroppedConnections > 0 {
		stream.cutAfter = faults.CutAfterTokens
		stream.cancelOnCut = faults.AbortedStreams > 0
	}
	if lastEventID := r.Header.Get("Last-Event-ID"); lastEventID != "" {
		s.resume(stream, r, lastEventID)
		return
	}
	g := newGeneration()
	s.retain(attempt, g)
	go s.generate(g, body, completionKind(r), attempt, time.Duration(faults.StallMillis)*time.Millisecond)
	stream.writeEvents(r, g, 0)
}

// resume continues a stream after the event with the given identifier.
func (s *Server) resume(stream *stream, r *http.Request, lastEventID string) {
	attempt, number, _ := strings.Cut(lastEventID, ":")
	skipped, err := strconv.Atoi(number)
	g, ok := s.findGeneration(attempt)
	if err != nil || !ok || skipped < 0 {
		stream.writer.WriteHeader(http.StatusGone)
		return
	}
	s.mu.Lock()
	s.counts.Resumed++
	s.mu.Unlock()
	stream.writeEvents(r, g, skipped)
}

// retain keeps a generation for generationRetention, so that it can be resumed.
func (s *Server) retain(attempt string, g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generations[attempt] = g
	time.AfterFunc(generationRetention, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.generations, attempt)
	})
}

func (s *Server) findGeneration(attempt string) (*generation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.generations[attempt]
	return g, ok
}

// cancelAttempt handles a request to cancel an attempt's generation.
func (s *Server) cancelAttempt(w http.ResponseWriter, r *http.Request) {
	g, ok := s.findGeneration(r.PathValue("attempt"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.cancel()
}

func (s *Server) countCancelled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Cancelled++
}

func (s *Server) countFinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Finished++
}

func completionKind(r *http.Request) completer.Kind {
	if r.URL.Path == completer.KindChat.Path() {
		return completer.KindChat
	}
	return completer.KindText
}

// stream writes the events of a generation to one connection.
type stream struct {
	server  *Server
	writer  http.ResponseWriter
	attempt string
	// cutAfter is the number of events after which the connection is cut; -1 for never.
	cutAfter int
	// cancelOnCut cancels the generation when the connection is cut.
	cancelOnCut bool
}

// writeEvents skips the first events and writes the following ones until the
// generation ends or the client disconnects.
func (s *stream) writeEvents(r *http.Request, g *generation, skipped int) {
	g.addReader()
	defer g.removeReader()
	for number := skipped; ; number++ {
		if number-skipped == s.cutAfter {
			if s.cancelOnCut {
				g.cancel()
			}
			panic(http.ErrAbortHandler)
		}
		data, ok := g.next(r.Context(), number)
		if !ok {
			return
		}
		if number == skipped {
			s.writer.Header().Set("Content-Type", "text/event-stream")
		}
		s.writeEvent(number+1, data)
	}
}

func (s *stream) writeEvent(number int, data string) {
	message := &sse.Message{ID: sse.ID(s.attempt + ":" + strconv.Itoa(number))}
	message.AppendData(data)
	_, _ = message.WriteTo(s.writer)
	_ = http.NewResponseController(s.writer).Flush()
}
