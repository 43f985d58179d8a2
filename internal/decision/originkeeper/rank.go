package originkeeper

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
)

// Rank returns the names with the highest rendezvous hashes for the stream, the highest
// first, up to a limit. The result does not depend on the order of the names, and few
// streams get others when a name is added or removed.
func Rank(stream string, names []string, limit int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(names))
	for _, name := range names {
		all = append(all, scored{name: name, score: balancer.Rendezvous(0, name+"\x00"+stream)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, 0, min(limit, len(all)))
	for _, entry := range all[:min(limit, len(all))] {
		ranked = append(ranked, entry.name)
	}
	return ranked
}
