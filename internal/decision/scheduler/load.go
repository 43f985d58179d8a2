package scheduler

// Load is the load that one instance, or all of them, have placed on a server.
type Load struct {
	Requests int
	// PrefillTokens are the prompt tokens that the server still has to prefill.
	PrefillTokens int64
	// MemoryTokens are the tokens that the requests hold in the server's memory.
	MemoryTokens int64
}

// Plus returns the sum of both loads.
func (l Load) Plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, PrefillTokens: l.PrefillTokens + other.PrefillTokens, MemoryTokens: l.MemoryTokens + other.MemoryTokens}
}

// Minus returns the load without the other one.
func (l Load) Minus(other Load) Load {
	return Load{Requests: l.Requests - other.Requests, PrefillTokens: l.PrefillTokens - other.PrefillTokens, MemoryTokens: l.MemoryTokens - other.MemoryTokens}
}
