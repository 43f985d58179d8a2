package edge

import (
	"sync"
	"time"
)

// silenceRepeat is the time between two reports of the same silence.
const silenceRepeat = 250 * time.Millisecond

// silenceTimer reports that a stream has had no event for a time, again and again until
// the next event. The stream itself goes on: whether its attempt ends is not decided here.
type silenceTimer struct {
	limit  time.Duration
	report func()

	mu        sync.Mutex
	timer     *time.Timer
	lastEvent time.Time
	stopped   bool
}

// newSilenceTimer returns a stopped timer; a limit of 0 means that silence is not reported.
func newSilenceTimer(limit time.Duration, report func()) *silenceTimer {
	return &silenceTimer{limit: limit, report: report}
}

// eventReceived starts the time anew.
func (s *silenceTimer) eventReceived() {
	if s.limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEvent = time.Now()
	if s.timer == nil && !s.stopped {
		s.timer = time.AfterFunc(s.limit, s.expire)
	}
}

// expire reports the silence, if it has lasted long enough, and schedules the next check.
func (s *silenceTimer) expire() {
	if s.silent() {
		s.report()
	}
}

func (s *silenceTimer) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	if remaining := s.limit - time.Since(s.lastEvent); remaining > 0 {
		s.timer.Reset(remaining)
		return false
	}
	s.timer.Reset(silenceRepeat)
	return true
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
