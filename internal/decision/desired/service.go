package desired

// Service is a group of servers that run the same requests.
type Service struct {
	Name string
	// HealthPath answers whether a server considers itself healthy.
	HealthPath string
	// Slots is how many requests an engine runs at once; 0 when unknown.
	Slots int
	// CacheTokens is the memory of an engine for running requests and cached parts, or
	// of a store of kept entries.
	CacheTokens int64
	// KeptCache is the address of a store of kept cache entries; such a service
	// runs no requests.
	KeptCache string
	// Domain is the failure domain of such a store.
	Domain string
}
