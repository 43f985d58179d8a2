package limitsharer

import (
	"maps"
	"slices"
)

// minRejecting is the least number of servers whose rejections say something of others, and
// rejectingPart the part of the servers that must have rejected: a single server may reject for a
// reason of its own.
const (
	minRejecting  = 2
	rejectingPart = 4
)

// Ceilings has the requests that the brittle servers of a group took when they last rejected one.
// The servers of a group are of one service and list the same slots. If several of them take
// less than they list, the others probably do so too, also after they have started anew.
type Ceilings struct {
	byServer map[string]int
}

// NewCeilings returns the Ceilings of a group of which none has rejected a request.
func NewCeilings() *Ceilings { return &Ceilings{byServer: map[string]int{}} }

// Record records the ceiling of a server that has rejected a request.
func (c *Ceilings) Record(server string, ceiling int) {
	if _, known := c.byServer[server]; !known && len(c.byServer) >= maxEntries {
		clear(c.byServer)
	}
	c.byServer[server] = ceiling
}

// Typical returns the ceiling to assume for another one of a number of servers. It reports false
// while too few have rejected a request. It is the upper quartile: the known requests of a server lag
// behind the real ones. With the median, servers below their capacity got up to 0.06 less of what
// they take, and with the highest ceiling, servers near their capacity 0.09 less.
func (c *Ceilings) Typical(servers int) (int, bool) {
	if len(c.byServer) < max(minRejecting, (servers+rejectingPart-1)/rejectingPart) {
		return 0, false
	}
	ceilings := slices.Sorted(maps.Values(c.byServer))
	return ceilings[len(ceilings)*3/4], true
}
