package desired

// Service is a group of servers that run the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the servers' health check.
	HealthPath string
	// Slots is the number of requests that an engine runs at once; 0 if unknown.
	Slots int
	// CacheTokens is the memory of an engine for running requests and cached parts, or
	// of a cache store for its entries, in tokens.
	CacheTokens int64
	// CacheStoreAddress is the address of a cache store; such a service runs no
	// requests.
	CacheStoreAddress string
	// Domain is the failure domain of a cache store.
	Domain string
}
