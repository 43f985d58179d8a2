package partquarantine

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

// survivalsPerMap limits the parts in each of the two maps of survivals.
const survivalsPerMap = 4096

// survivals has the times at which answers to parts last began and went on. The older half is
// dropped when there are too many.
type survivals struct {
	young map[uint64]clock.Millis
	old   map[uint64]clock.Millis
}

func newSurvivals() survivals {
	return survivals{young: map[uint64]clock.Millis{}, old: map[uint64]clock.Millis{}}
}

func (s *survivals) at(part uint64) (clock.Millis, bool) {
	if at, ok := s.young[part]; ok {
		return at, true
	}
	at, ok := s.old[part]
	return at, ok
}

func (s *survivals) put(part uint64, at clock.Millis) {
	if known, ok := s.at(part); ok {
		at = max(at, known)
	}
	if len(s.young) >= survivalsPerMap {
		s.young, s.old = map[uint64]clock.Millis{}, s.young
	}
	s.young[part] = at
}
