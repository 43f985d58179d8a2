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

	mu    sync.Mutex
	timer *time.Timer
	// waitingSince is the time since which the next event is awaited; zero while an event
	// is being written.
	waitingSince time.Time
	stopped      bool
}

// newSilenceTimer returns a timer that does not run; a limit of 0 means that silence is not
// reported.
func newSilenceTimer(limit time.Duration, report func()) *silenceTimer {
	return &silenceTimer{limit: limit, report: report}
}

// start begins to wait for the next event.
func (s *silenceTimer) start() {
	if s.limit <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingSince = time.Now()
	if s.timer == nil && !s.stopped {
		s.timer = time.AfterFunc(s.limit, s.expire)
	}
}

// pause ends the wait.
func (s *silenceTimer) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingSince = time.Time{}
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
	waited := time.Duration(0)
	if !s.waitingSince.IsZero() {
		waited = time.Since(s.waitingSince)
	}
	if waited < s.limit {
		s.timer.Reset(s.limit - waited)
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
