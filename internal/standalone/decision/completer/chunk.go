package completer

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// DoneData is the data of the last event of a complete stream.
const DoneData = "[DONE]"

// Chunk is one chunk of a streamed response.
type Chunk struct {
	Text string
	// FinishReason is the reason why the response ends with this chunk; empty before.
	FinishReason string
	// CachedTokens is the number of prompt tokens that the engine had cached; -1 when
	// the chunk does not report it.
	CachedTokens int64
}

// Usage has the token counts of a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// Details is set by engines that report their cached tokens.
	Details *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails has details of the prompt's tokens.
type UsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// NewUsage returns a Usage with the counts and their sum.
func NewUsage(prompt, completion int64) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// completionObject is the JSON form of chunks and whole responses of both kinds.
type completionObject struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// DecodeChunk decodes the data of one event.
func DecodeChunk(kind Kind, data string) (Chunk, error) {
	var object completionObject
	if err := json.Unmarshal([]byte(data), &object); err != nil {
		return Chunk{}, errors.Wrap(err, "completer.DecodeChunk")
	}
	if len(object.Choices) != 1 {
		return Chunk{}, errors.New("completer.DecodeChunk: there is not exactly one choice")
	}
	choice := object.Choices[0]
	chunk := Chunk{CachedTokens: -1}
	if object.Usage != nil && object.Usage.Details != nil {
		chunk.CachedTokens = object.Usage.Details.CachedTokens
	}
	switch {
	case kind == KindText && choice.Text != nil:
		chunk.Text = *choice.Text
	case kind == KindChat && choice.Delta != nil:
		chunk.Text = choice.Delta.Content
	}
	if choice.FinishReason != nil {
		chunk.FinishReason = *choice.FinishReason
	}
	return chunk, nil
}

// EncodeChunk returns the data of one event; usage may be nil.
func EncodeChunk(kind Kind, id, model string, chunk Chunk, usage *Usage) string {
	choice := completionChoice{FinishReason: nonEmptyOrNil(chunk.FinishReason)}
	object := "text_completion"
	if kind == KindChat {
		object = "chat.completion.chunk"
		choice.Delta = &Message{Role: "assistant", Content: chunk.Text}
	} else {
		choice.Text = &chunk.Text
	}
	return encodeObject(completionObject{ID: id, Object: object, Model: model, Choices: []completionChoice{choice}, Usage: usage})
}

// EncodeCompletion returns the body of a response that is not streamed.
func EncodeCompletion(kind Kind, id, model string, completion Chunk, usage Usage) string {
	choice := completionChoice{FinishReason: nonEmptyOrNil(completion.FinishReason)}
	object := "text_completion"
	if kind == KindChat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: completion.Text}
	} else {
		choice.Text = &completion.Text
	}
	return encodeObject(completionObject{ID: id, Object: object, Model: model, Choices: []completionChoice{choice}, Usage: &usage})
}

func nonEmptyOrNil(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

func encodeObject(value completionObject) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("completer.encodeObject: " + err.Error())
	}
	return string(encoded)
}
