package desired

// Team is a group of callers with keys and a rate limit over all instances together.
type Team struct {
	Name string
	// Priority replaces the route's priority if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	// Isolated teams share no cached part with any other team.
	Isolated bool
	// Rate is the limit per second and Burst the limit at once; 0 for no limit.
	Rate  int64
	Burst int64
	// LimitsTokens is set if the limit counts tokens instead of requests.
	LimitsTokens bool
	// DefaultTokens is the cost of a request without token counts.
	DefaultTokens int64
}

// Cost returns the cost of a request against the limit; tokens is 0 if the request has
// no token counts.
func (t Team) Cost(tokens int64) int64 {
	switch {
	case !t.LimitsTokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return t.DefaultTokens
	}
}
