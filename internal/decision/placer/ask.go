package placer

// Ask is what a request needs.
type Ask struct {
	// Parts are the parts of the prompt in order; the last is the request's own.
	Parts []Part
	// Prompt and Output are in tokens; both 0 for a plain request.
	Prompt int64
	Output int64
}

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// plain reports whether the request has no prompt.
func (a Ask) plain() bool { return a.Prompt == 0 }

// shared returns the parts that other requests may have.
func (a Ask) shared() []Part {
	if len(a.Parts) == 0 {
		return nil
	}
	return a.Parts[:len(a.Parts)-1]
}

func (a Ask) sharedTokens() int64 {
	var tokens int64
	for _, part := range a.shared() {
		tokens += part.Tokens
	}
	return tokens
}
