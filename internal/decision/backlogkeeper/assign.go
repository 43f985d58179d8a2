package backlogkeeper

import (
	"cmp"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
)

// Assign returns the keeper of each engine. The engines are distributed evenly, and each
// goes to the instance with the highest rendezvous hash that has room, so that few change
// their keeper when an engine or an instance is added or removed. The result does not
// depend on the order of the arguments. It is empty without instances.
func Assign(engines, instances []string) map[string]string {
	keepers := make(map[string]string, len(engines))
	if len(instances) == 0 {
		return keepers
	}
	limit := (len(engines) + len(instances) - 1) / len(instances)
	counts := map[string]int{}
	for _, engine := range slices.Sorted(slices.Values(engines)) {
		best, bestScore := "", uint64(0)
		for _, instance := range instances {
			score := Score(engine, instance)
			if counts[instance] < limit && (best == "" || cmp.Or(cmp.Compare(score, bestScore), cmp.Compare(instance, best)) > 0) {
				best, bestScore = instance, score
			}
		}
		keepers[engine] = best
		counts[best]++
	}
	return keepers
}

// Score is the rendezvous hash of an instance for an engine.
func Score(engine, instance string) uint64 {
	return balancer.Rendezvous(0, instance+"\x00"+engine)
}
