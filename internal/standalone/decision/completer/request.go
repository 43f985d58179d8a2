// Package completer decodes and encodes OpenAI-compatible completion requests,
// their streamed chunks and their whole responses.
//
// # Usage
//
//	request, err := completer.Decode(completer.KindChat, body)
//	forEngine := request.EncodeForEngine(completer.DispatchOptions{Salt: "5f", DeliveredText: "text so far"})
package completer

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/go-faster/errors"
)

// Kind is the kind of a completion request.
type Kind int

// Values of Kind.
const (
	KindText Kind = iota + 1
	KindChat
)

// Path returns the HTTP path of requests of the kind.
func (k Kind) Path() string {
	if k == KindChat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Limits and defaults of requests.
const (
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
)

// Request is a completion request. Values are immutable.
type Request struct {
	Kind      Kind
	Model     string
	Stream    bool
	MaxTokens int64
	// Prompt is the text that the engine sees; chat messages are rendered with
	// RenderChat.
	Prompt string

	fields     map[string]json.RawMessage
	messages   []Message
	promptText string
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// requestBody has the fields of a request that the router reads.
type requestBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
}

// Decode decodes a request. The error describes what is wrong with it.
func Decode(kind Kind, data []byte) (Request, error) {
	var decoded requestBody
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Request{}, errors.Wrap(err, "the body is not a JSON object of the expected shape")
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return Request{}, errors.Wrap(err, "the body is not a JSON object")
	}
	request := Request{Kind: kind, Model: decoded.Model, Stream: decoded.Stream, MaxTokens: decoded.maxTokens(), fields: fields}
	if err := request.check(decoded); err != nil {
		return Request{}, err
	}
	return request.withPrompt(decoded)
}

func (b requestBody) maxTokens() int64 {
	if b.MaxCompletionTokens != nil {
		return *b.MaxCompletionTokens
	}
	if b.MaxTokens != nil {
		return *b.MaxTokens
	}
	return defaultMaxTokens
}

func (r Request) check(decoded requestBody) error {
	if r.Model == "" {
		return errors.New("model is missing: name the model")
	}
	if r.MaxTokens < 1 || r.MaxTokens > maxTokensLimit {
		return errors.Errorf("max_tokens is not between 1 and %d", maxTokensLimit)
	}
	if decoded.N != nil && *decoded.N != 1 {
		return errors.New("n is not 1: send one request for each completion")
	}
	return nil
}

func (r Request) withPrompt(decoded requestBody) (Request, error) {
	if r.Kind == KindChat {
		if len(decoded.Messages) == 0 {
			return Request{}, errors.New("messages is missing or empty: send at least one message")
		}
		r.messages = decoded.Messages
		r.Prompt = RenderChat(decoded.Messages)
		return r, nil
	}
	if err := json.Unmarshal(decoded.Prompt, &r.promptText); err != nil {
		return Request{}, errors.New("prompt is not a text: send one text")
	}
	r.Prompt = r.promptText
	return r, nil
}

// RenderChat renders chat messages as one text that ends where the response begins.
func RenderChat(messages []Message) string {
	text := &strings.Builder{}
	for _, message := range messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	text.WriteString("assistant: ")
	return text.String()
}

// DispatchOptions are set by the router for one attempt.
type DispatchOptions struct {
	// Salt separates the cached blocks of different scopes.
	Salt string
	// Priority orders requests in the engine; lower goes first.
	Priority int
	// DeliveredText is the text that the caller already has, from which the engine
	// continues, and DeliveredTokens its length in tokens.
	DeliveredText   string
	DeliveredTokens int64
}

// EncodeForEngine returns the request's body for an engine, which always streams.
func (r Request) EncodeForEngine(options DispatchOptions) []byte {
	fields := maps.Clone(r.fields)
	for _, name := range []string{"max_completion_tokens", "stream_options", "user", "n"} {
		delete(fields, name)
	}
	setField(fields, "stream", true)
	setField(fields, "max_tokens", r.MaxTokens-options.DeliveredTokens)
	setField(fields, "cache_salt", options.Salt)
	setField(fields, "priority", options.Priority)
	if options.DeliveredText != "" {
		r.continueFrom(fields, options.DeliveredText)
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		panic("completer.EncodeForEngine: " + err.Error())
	}
	return encoded
}

// continueFrom makes the request continue from the delivered text.
func (r Request) continueFrom(fields map[string]json.RawMessage, delivered string) {
	if r.Kind == KindText {
		setField(fields, "prompt", r.promptText+delivered)
		return
	}
	messages := append(r.messages[:len(r.messages):len(r.messages)], Message{Role: "assistant", Content: delivered})
	setField(fields, "messages", messages)
	setField(fields, "continue_final_message", true)
	setField(fields, "add_generation_prompt", false)
}

func setField(fields map[string]json.RawMessage, name string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("completer.setField: " + err.Error())
	}
	fields[name] = encoded
}
