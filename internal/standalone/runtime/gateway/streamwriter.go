package gateway

import (
	"net/http"
	"strings"

	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/runtime/dispatcher"
)

// errorEvent is the type of the event that ends an incomplete stream.
const errorEvent = "error"

// streamWriter writes a completion to its caller: as a stream of events, or
// whole at the end.
type streamWriter struct {
	writer  http.ResponseWriter
	flush   *http.ResponseController
	request completer.Request
	id      string

	text   strings.Builder // text is what was passed, for the next attempt.
	tokens int64           // tokens counts the chunks that were passed.
	reason string          // reason tells why the answer ended; empty before.
	begun  bool
}

func newStreamWriter(w http.ResponseWriter, request completer.Request) *streamWriter {
	return &streamWriter{writer: w, flush: http.NewResponseController(w), request: request}
}

func (s *streamWriter) promptTokens() int64 {
	return chunker.EstimateTokens(len(s.request.Prompt))
}

// pass takes one chunk. A chunk without text and reason is not passed.
func (s *streamWriter) pass(chunk completer.Chunk, id string) error {
	s.text.WriteString(chunk.Text)
	if chunk.Text != "" {
		s.tokens++
	}
	s.reason = chunk.FinishReason
	if !s.request.Stream {
		return nil
	}
	message := &sse.Message{ID: sse.ID(id)}
	message.AppendData(completer.EncodeChunk(s.request.Kind, s.id, s.request.Model, chunk, nil))
	return s.event(message)
}

// event writes one event of the stream.
func (s *streamWriter) event(message *sse.Message) error {
	if !s.begun {
		s.begin()
	}
	if _, err := message.WriteTo(s.writer); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *streamWriter) begin() {
	s.begun = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(dispatcher.RequestField, s.id)
	s.writer.WriteHeader(http.StatusOK)
}

// finish writes the end of the answer. An engine's answer that is no stream has
// a body of its own.
func (s *streamWriter) finish(answer recorder.Response) {
	if s.request.Stream && s.begun {
		message := &sse.Message{}
		message.AppendData(completer.DoneData)
		_ = s.event(message)
		return
	}
	header := s.writer.Header()
	header.Set(dispatcher.RequestField, s.id)
	header.Set("Content-Type", "application/json")
	body := answer.Body
	if answer.Status == http.StatusOK {
		whole := completer.Chunk{Text: s.text.String(), FinishReason: s.reason}
		body = []byte(completer.EncodeCompletion(s.request.Kind, s.id, s.request.Model, whole, completer.NewUsage(s.promptTokens(), s.tokens)))
	}
	s.writer.WriteHeader(answer.Status)
	_, _ = s.writer.Write(body)
}

// refuse ends the answer with the reason: as the status of an answer that has
// not begun, else as the last event of the stream.
func (s *streamWriter) refuse(refusal action.Refusal) {
	if !s.begun {
		writeRefusal(s.writer, s.id, refusal)
		return
	}
	message := &sse.Message{Type: sse.Type(errorEvent)}
	message.AppendData(string(encodeRefusal(s.id, refusal)))
	_ = s.event(message)
}
