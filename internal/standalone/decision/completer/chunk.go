package completer

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// DoneData is the data of the last event of a whole stream.
const DoneData = "[DONE]"

// Chunk is one piece of a streamed answer.
type Chunk struct {
	Text string
	// FinishReason tells why the answer ends with this chunk; empty before.
	FinishReason string
	// CachedTokens is what of the prompt the engine had cached; -1 when the chunk
	// does not say.
	CachedTokens int64
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
	// Details are set by engines that say what they had cached.
	Details *UsageDetails `json:"prompt_tokens_details,omitempty"`
}

// UsageDetails tell more of the prompt's tokens.
type UsageDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// NewUsage returns the Usage of the counts.
func NewUsage(prompt, completion int64) Usage {
	return Usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

// wire is the JSON form of chunks and answers of both kinds.
type wire struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *Usage       `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// DecodeChunk reads the data of one event.
func DecodeChunk(kind Kind, data string) (Chunk, error) {
	var read wire
	if err := json.Unmarshal([]byte(data), &read); err != nil {
		return Chunk{}, errors.Wrap(err, "completer.DecodeChunk")
	}
	if len(read.Choices) != 1 {
		return Chunk{}, errors.New("completer.DecodeChunk: there is not exactly one choice")
	}
	choice := read.Choices[0]
	chunk := Chunk{CachedTokens: -1}
	if read.Usage != nil && read.Usage.Details != nil {
		chunk.CachedTokens = read.Usage.Details.CachedTokens
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

// EncodeChunk returns the data of one event. A chunk without usage has none.
func EncodeChunk(kind Kind, id, model string, chunk Chunk, usage *Usage) string {
	choice := wireChoice{FinishReason: optional(chunk.FinishReason)}
	object := "text_completion"
	if kind == KindChat {
		object = "chat.completion.chunk"
		choice.Delta = &Message{Role: "assistant", Content: chunk.Text}
	} else {
		choice.Text = &chunk.Text
	}
	return encode(wire{ID: id, Object: object, Model: model, Choices: []wireChoice{choice}, Usage: usage})
}

// EncodeCompletion returns the body of an answer that is not streamed.
func EncodeCompletion(kind Kind, id, model string, whole Chunk, usage Usage) string {
	choice := wireChoice{FinishReason: optional(whole.FinishReason)}
	object := "text_completion"
	if kind == KindChat {
		object = "chat.completion"
		choice.Message = &Message{Role: "assistant", Content: whole.Text}
	} else {
		choice.Text = &whole.Text
	}
	return encode(wire{ID: id, Object: object, Model: model, Choices: []wireChoice{choice}, Usage: &usage})
}

func optional(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

func encode(value wire) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("completer.encode: " + err.Error())
	}
	return string(encoded)
}
