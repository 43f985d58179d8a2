package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/completer"
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
		return completer.Render(r.Messages)
	}
	last := len(r.Messages) - 1
	return completer.Render(r.Messages[:last]) + r.Messages[last].Content
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
	s.run(w, r, asked, faults)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, asked request, faults Faults) {
	text := asked.text()
	if !s.enter(r.Context()) {
		s.cancelled()
		return
	}
	defer s.leave()
	if !s.process(r.Context(), asked.CacheSalt, text) || !sleep(r.Context(), time.Duration(faults.StallMillis)*time.Millisecond) {
		s.cancelled()
		return
	}
	stream := &stream{server: s, writer: w, kind: kindOf(r), model: asked.Model, attempt: r.Header.Get("X-Attempt-Id")}
	if faults.Crossed > 0 {
		stream.attempt = "another"
	}
	cutAfter := int64(-1)
	if faults.Cuts > 0 {
		cutAfter = int64(faults.CutAfter)
	}
	stream.write(r, newGenerator(text), asked.MaxTokens, cutAfter)
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

// stream is one streamed answer.
type stream struct {
	server  *Server
	writer  http.ResponseWriter
	kind    completer.Kind
	model   string
	attempt string
	number  int64
}

// write writes tokens until the text ends, the caller goes, or cutAfter tokens
// when that is not negative.
func (s *stream) write(r *http.Request, generate *generator, maxTokens, cutAfter int64) {
	s.writer.Header().Set("Content-Type", "text/event-stream")
	for i := range maxTokens {
		if i == cutAfter {
			panic(http.ErrAbortHandler)
		}
		if !sleep(r.Context(), s.server.options.DecodePerToken) {
			s.server.cancelled()
			return
		}
		token, stop := generate.next()
		chunk := completer.Chunk{Text: token}
		switch {
		case stop:
			chunk.FinishReason = "stop"
		case i == maxTokens-1:
			chunk.FinishReason = "length"
		}
		s.event(completer.EncodeChunk(s.kind, s.attempt, s.model, chunk))
		if stop {
			break
		}
	}
	s.event(completer.DoneData)
	s.server.finished()
}

func (s *stream) event(data string) {
	s.number++
	message := &sse.Message{ID: sse.ID(s.attempt + ":" + strconv.FormatInt(s.number, 10))}
	message.AppendData(data)
	_, _ = message.WriteTo(s.writer)
	_ = http.NewResponseController(s.writer).Flush()
}
