// Package completer has the OpenAI-style bodies of completion requests, their
// streamed chunks and their whole answers.
//
// # Usage
//
//	request, err := completer.Decode(completer.KindChat, body)
//	forEngine := request.ForEngine(completer.Dispatch{Salt: "5f", Passed: "text so far"})
package completer

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/go-faster/errors"
)

// Kind tells the two forms of requests apart.
type Kind int

// The kinds.
const (
	KindText Kind = iota + 1
	KindChat
)

// Path returns the HTTP path of the kind.
func (k Kind) Path() string {
	if k == KindChat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Limits and defaults of requests.
const (
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
)

// Request is a completion request. Values are immutable.
type Request struct {
	Kind      Kind
	Model     string
	Stream    bool
	MaxTokens int64
	// Prompt is the text that the engine sees, with chat messages rendered one
	// after the other.
	Prompt string

	fields map[string]json.RawMessage
	chat   []Message
	text   string
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// body is the fields that the router reads.
type body struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []Message       `json:"messages"`
}

// Decode reads a request. The error says what is wrong with it.
func Decode(kind Kind, data []byte) (Request, error) {
	var read body
	if err := json.Unmarshal(data, &read); err != nil {
		return Request{}, errors.Wrap(err, "the body is not a JSON object of the expected shape")
	}
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &fields); err != nil {
		return Request{}, errors.Wrap(err, "the body is not a JSON object")
	}
	request := Request{Kind: kind, Model: read.Model, Stream: read.Stream, MaxTokens: read.maxTokens(), fields: fields}
	if err := request.check(read); err != nil {
		return Request{}, err
	}
	return request.withPrompt(read)
}

func (b body) maxTokens() int64 {
	if b.MaxCompletionTokens != nil {
		return *b.MaxCompletionTokens
	}
	if b.MaxTokens != nil {
		return *b.MaxTokens
	}
	return defaultMaxTokens
}

func (r Request) check(read body) error {
	if r.Model == "" {
		return errors.New("model is missing: name the model")
	}
	if r.MaxTokens < 1 || r.MaxTokens > maxMaxTokens {
		return errors.Errorf("max_tokens is not between 1 and %d", maxMaxTokens)
	}
	if read.N != nil && *read.N != 1 {
		return errors.New("n is not 1: send one request for each completion")
	}
	return nil
}

func (r Request) withPrompt(read body) (Request, error) {
	if r.Kind == KindChat {
		if len(read.Messages) == 0 {
			return Request{}, errors.New("messages is missing or empty: send at least one message")
		}
		r.chat = read.Messages
		r.Prompt = RenderChat(read.Messages)
		return r, nil
	}
	if err := json.Unmarshal(read.Prompt, &r.text); err != nil {
		return Request{}, errors.New("prompt is not a text: send one text")
	}
	r.Prompt = r.text
	return r, nil
}

// RenderChat writes chat messages as one text that ends where the answer begins.
func RenderChat(messages []Message) string {
	text := &strings.Builder{}
	for _, message := range messages {
		text.WriteString(message.Role + ": " + message.Content + "\n")
	}
	text.WriteString("assistant: ")
	return text.String()
}

// DispatchOptions is what the router adds to a request for one attempt.
type DispatchOptions struct {
	// Salt keeps the cached blocks of different scopes apart.
	Salt string
	// Priority orders requests in the engine; lower goes first.
	Priority int
	// DeliveredText is the text that the caller already has, which the engine goes on
	// from, and PassedTokens its length.
	DeliveredText   string
	DeliveredTokens int64
}

// EncodeForEngine returns the request's body for an engine: always streamed.
func (r Request) EncodeForEngine(dispatch DispatchOptions) []byte {
	fields := maps.Clone(r.fields)
	for _, name := range []string{"max_completion_tokens", "stream_options", "user", "n"} {
		delete(fields, name)
	}
	set(fields, "stream", true)
	set(fields, "max_tokens", r.MaxTokens-dispatch.DeliveredTokens)
	set(fields, "cache_salt", dispatch.Salt)
	set(fields, "priority", dispatch.Priority)
	if dispatch.DeliveredText != "" {
		r.goOn(fields, dispatch.DeliveredText)
	}
	encoded, err := json.Marshal(fields)
	if err != nil {
		panic("completer.ForEngine: " + err.Error())
	}
	return encoded
}

// goOn makes the request go on from the text that was passed.
func (r Request) goOn(fields map[string]json.RawMessage, passed string) {
	if r.Kind == KindText {
		set(fields, "prompt", r.text+passed)
		return
	}
	messages := append(r.chat[:len(r.chat):len(r.chat)], Message{Role: "assistant", Content: passed})
	set(fields, "messages", messages)
	set(fields, "continue_final_message", true)
	set(fields, "add_generation_prompt", false)
}

func set(fields map[string]json.RawMessage, name string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("completer.set: " + err.Error())
	}
	fields[name] = encoded
}
