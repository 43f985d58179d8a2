package placer

// Load is what runs at a server.
type Load struct {
	Requests int
	// Prefill are the prompt tokens that the server still has to read.
	Prefill int64
	// Tokens are the tokens that the requests hold in the server's memory.
	Tokens int64
}

func (l Load) plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Prefill: l.Prefill + other.Prefill, Tokens: l.Tokens + other.Tokens}
}

func (l Load) minus(other Load) Load {
	return Load{Requests: l.Requests - other.Requests, Prefill: l.Prefill - other.Prefill, Tokens: l.Tokens - other.Tokens}
}
