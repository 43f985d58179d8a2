package watcher_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/watcher"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// scriptedStore is a store that returns the results of its steps in order.
type scriptedStore struct {
	mu    sync.Mutex
	steps []step
	calls []string
	waits []clock.Millis
}

type step struct {
	listing watcher.Listing
	err     error
	delay   time.Duration
}

func (s *scriptedStore) next(ctx context.Context, call string) (watcher.Listing, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.steps) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return watcher.Listing{}, ctx.Err()
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	s.mu.Unlock()
	time.Sleep(next.delay)
	return next.listing, next.err
}

// List returns the result of the next step.
func (s *scriptedStore) List(ctx context.Context, _ string) (watcher.Listing, error) {
	return s.next(ctx, "list")
}

// Watch returns the result of the next step.
func (s *scriptedStore) Watch(ctx context.Context, _ string, since int64, wait clock.Millis) (watcher.Listing, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.next(ctx, "watch "+string(rune('0'+since)))
}

func (s *scriptedStore) callsMade() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// sink records its calls.
type sink struct {
	mu    sync.Mutex
	calls []string
	times []clock.Millis
}

func (s *sink) record(call string, lastConfirmed clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	s.times = append(s.times, lastConfirmed)
}

// Listed records a list.
func (s *sink) Listed(lastConfirmed clock.Millis, items []watcher.Item) {
	s.record("listed", lastConfirmed)
}

// Changed records changes.
func (s *sink) Changed(lastConfirmed clock.Millis, items []watcher.Item) {
	if len(items) == 0 {
		s.record("confirmed", lastConfirmed)
		return
	}
	s.record("changed "+items[0].Name, lastConfirmed)
}

// Failed records a failure.
func (s *sink) Failed(error) { s.record("failed", 0) }

func (s *sink) all() ([]string, []clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...), append([]clock.Millis(nil), s.times...)
}

// TestRevisions verifies that the first watch continues from the list's revision, that a
// failed watch is repeated with the same revision, and that the objects are listed again when
// the store no longer has the changes.
func TestRevisions(t *testing.T) {
	store := &scriptedStore{steps: []step{
		{err: errors.New("unavailable")},
		{listing: watcher.Listing{Revision: 3}},
		{listing: watcher.Listing{Revision: 5, Items: []watcher.Item{{Name: "a"}}}},
		{err: errors.New("connection closed")},
		{listing: watcher.Listing{Revision: 5}},
		{err: watcher.ErrRevisionTooOld},
		{listing: watcher.Listing{Revision: 8}},
	}}
	recorded := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		watcher.New(store, "kind", watcher.PollConfig{MaxWait: clock.Second}, recorded).Run(ctx)
		close(done)
	}()
	want := []string{"list", "list", "watch 3", "watch 5", "watch 5", "watch 5", "list", "watch 8"}
	require.Eventually(t, func() bool { return len(store.callsMade()) == len(want) }, 3*time.Second, 5*time.Millisecond)
	cancel()
	<-done
	require.Equal(t, want, store.callsMade())
	calls, _ := recorded.all()
	require.Equal(t, []string{"failed", "listed", "changed a", "failed", "confirmed", "listed"}, calls)
}

// TestShortWaitAfterFailure verifies that after a failure a watch waits for 100 ms at most
// until the store responds again, so that a recovery is detected early.
func TestShortWaitAfterFailure(t *testing.T) {
	store := &scriptedStore{steps: []step{
		{listing: watcher.Listing{Revision: 1}},
		{err: errors.New("connection closed")},
		{err: errors.New("connection closed")},
		{listing: watcher.Listing{Revision: 1}},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.New(store, "kind", watcher.PollConfig{MaxWait: 5 * clock.Second}, &sink{}).Run(ctx)
	waits := func() []clock.Millis {
		store.mu.Lock()
		defer store.mu.Unlock()
		return append([]clock.Millis(nil), store.waits...)
	}
	require.Eventually(t, func() bool { return len(waits()) == 4 }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, []clock.Millis{5000, 100, 100, 5000}, waits())
}

// TestTimeOfResults verifies the time that is passed with each result: it is never later
// than the time at which the store can have read the data.
func TestTimeOfResults(t *testing.T) {
	const wait = 100 * clock.Millisecond
	store := &scriptedStore{steps: []step{
		{listing: watcher.Listing{Revision: 1}, delay: 60 * time.Millisecond},
		{listing: watcher.Listing{Revision: 1}, delay: 150 * time.Millisecond},
		{listing: watcher.Listing{Revision: 2, Items: []watcher.Item{{Name: "a"}}}, delay: 150 * time.Millisecond},
		{listing: watcher.Listing{Revision: 2}, delay: 20 * time.Millisecond},
	}}
	recorded := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := bootclock.Now()
	go watcher.New(store, "kind", watcher.PollConfig{MaxWait: wait}, recorded).Run(ctx)
	require.Eventually(t, func() bool { calls, _ := recorded.all(); return len(calls) == 4 }, 3*time.Second, time.Millisecond)
	_, times := recorded.all()
	const slack = 45 // slack is the delay in ms that a busy machine may add between two calls.
	require.InDelta(t, 0, int64(times[0]-start), slack, "a list counts from its request")
	require.InDelta(t, 60+100, int64(times[1]-start), slack, "a watch without a change counts from the end of its wait")
	require.InDelta(t, 60+150, int64(times[2]-start), 2*slack, "a watch with a change counts from its request")
	require.InDelta(t, 60+300, int64(times[3]-start), 3*slack, "a watch that ends early counts from its request")
}

// TestMinInterval verifies the minimum time between two watches, during which changes are batched.
func TestMinInterval(t *testing.T) {
	store := &scriptedStore{steps: []step{{listing: watcher.Listing{Revision: 1}}}}
	for range 4 {
		store.steps = append(store.steps, step{listing: watcher.Listing{Revision: 2, Items: []watcher.Item{{Name: "a"}}}})
	}
	recorded := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	start := time.Now()
	go watcher.New(store, "kind", watcher.PollConfig{MaxWait: clock.Second, MinInterval: 100 * clock.Millisecond}, recorded).Run(ctx)
	require.Eventually(t, func() bool { return len(store.callsMade()) == 6 }, 3*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(start), 390*time.Millisecond)
}
