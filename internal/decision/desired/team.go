package desired

// Team is a group of callers with keys and a limit over all instances together.
type Team struct {
	Name string
	// Rank orders the team's requests before the route's rank does; 0 goes first.
	// Ranked tells whether it is set.
	Rank   int
	Ranked bool
	// Isolated teams share no cached part with any other team.
	Isolated bool
	// Rate is what the team may use a second, and Burst at once; 0 for no limit.
	Rate  int64
	Burst int64
	// InTokens tells that the limit counts tokens, else it counts requests.
	InTokens bool
	// PlainTokens is what a request without token counts uses.
	PlainTokens int64
}

// Cost returns what a request with the tokens uses of the limit; tokens is 0 when
// the request names none.
func (t Team) Cost(tokens int64) int64 {
	switch {
	case !t.InTokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return t.PlainTokens
	}
}
