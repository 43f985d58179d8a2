package scheduler

// Request is the prompt and the expected output of a request.
type Request struct {
	// Parts are the parts of the prompt in order. Other requests may share all but the
	// last one.
	Parts []Part
	// PromptTokens and OutputTokens are both 0 for a plain request.
	PromptTokens int64
	OutputTokens int64
	// RunMs is the usual time in milliseconds from the first token of such a request to its end.
	RunMs float64
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// plain reports whether the request has no prompt.
func (r Request) plain() bool { return r.PromptTokens == 0 }

// sharedParts returns the parts that other requests may share.
func (r Request) sharedParts() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

func (r Request) sharedTokens() int64 {
	var tokens int64
	for _, part := range r.sharedParts() {
		tokens += part.Tokens
	}
	return tokens
}
