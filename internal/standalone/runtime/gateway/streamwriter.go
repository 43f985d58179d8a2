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

// errorEventType is the type of the event that ends an incomplete stream.
const errorEventType = "error"

// streamWriter writes a completion to its caller, either as a stream of events or
// as one response at the end.
type streamWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	request    completer.Request
	id         string

	delivered       strings.Builder // delivered is the text so far, which the next attempt continues; without a stream it is kept for finish.
	deliveredTokens int64           // deliveredTokens counts the chunks that had text.
	finishReason    string          // finishReason is empty until the completion has ended.
	headerWritten   bool
}

func newStreamWriter(w http.ResponseWriter, request completer.Request) *streamWriter {
	return &streamWriter{writer: w, controller: http.NewResponseController(w), request: request}
}

func (s *streamWriter) promptTokens() int64 {
	return chunker.EstimateTokens(len(s.request.Prompt))
}

// writeChunk adds one chunk to the completion and, in a stream, writes it to the
// caller. A chunk without text does not count as a token.
func (s *streamWriter) writeChunk(chunk completer.Chunk, id string) error {
	s.delivered.WriteString(chunk.Text)
	if chunk.Text != "" {
		s.deliveredTokens++
	}
	s.finishReason = chunk.FinishReason
	if !s.request.Stream {
		return nil
	}
	message := &sse.Message{ID: sse.ID(id)}
	message.AppendData(completer.EncodeChunk(s.request.Kind, s.id, s.request.Model, chunk, nil))
	return s.writeEvent(message)
}

// writeEvent writes one event of the stream and flushes it.
func (s *streamWriter) writeEvent(message *sse.Message) error {
	if !s.headerWritten {
		s.writeHeader()
	}
	if _, err := message.WriteTo(s.writer); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *streamWriter) writeHeader() {
	s.headerWritten = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(dispatcher.RequestIDHeader, s.id)
	s.writer.WriteHeader(http.StatusOK)
}

// finish ends a stream, or writes the whole response if no stream was started. The
// body of a response other than 200 OK is the engine's own.
func (s *streamWriter) finish(response recorder.Response) {
	if s.request.Stream && s.headerWritten {
		message := &sse.Message{}
		message.AppendData(completer.DoneData)
		_ = s.writeEvent(message)
		return
	}
	header := s.writer.Header()
	header.Set(dispatcher.RequestIDHeader, s.id)
	header.Set("Content-Type", "application/json")
	body := response.Body
	if response.Status == http.StatusOK {
		whole := completer.Chunk{Text: s.delivered.String(), FinishReason: s.finishReason}
		body = []byte(completer.EncodeCompletion(s.request.Kind, s.id, s.request.Model, whole, completer.NewUsage(s.promptTokens(), s.deliveredTokens)))
	}
	s.writer.WriteHeader(response.Status)
	_, _ = s.writer.Write(body)
}

// writeRefusal ends the response with an error: as an error status if nothing was
// written yet, otherwise as the last event of the stream.
func (s *streamWriter) writeRefusal(refusal action.Refusal) {
	if !s.headerWritten {
		writeRefusal(s.writer, s.id, refusal)
		return
	}
	message := &sse.Message{Type: sse.Type(errorEventType)}
	message.AppendData(string(encodeRefusal(s.id, refusal)))
	_ = s.writeEvent(message)
}
