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

// script is a store that answers each call with the next of its steps.
type script struct {
	mu    sync.Mutex
	steps []step
	calls []string
	waits []clock.Millis
}

type step struct {
	listing watcher.Listing
	err     error
	after   time.Duration
}

func (s *script) next(ctx context.Context, call string) (watcher.Listing, error) {
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
	time.Sleep(next.after)
	return next.listing, next.err
}

// List answers a list.
func (s *script) List(ctx context.Context, _ string) (watcher.Listing, error) {
	return s.next(ctx, "list")
}

// Watch answers a watch.
func (s *script) Watch(ctx context.Context, _ string, since int64, wait clock.Millis) (watcher.Listing, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.next(ctx, "watch "+string(rune('0'+since)))
}

func (s *script) made() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

// sink keeps what it was told.
type sink struct {
	mu    sync.Mutex
	told  []string
	times []clock.Millis
}

func (k *sink) note(text string, at clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told = append(k.told, text)
	k.times = append(k.times, at)
}

// Listed notes a list.
func (k *sink) Listed(at clock.Millis, items []watcher.Item) { k.note("listed", at) }

// Changed notes changes.
func (k *sink) Changed(at clock.Millis, items []watcher.Item) {
	if len(items) == 0 {
		k.note("confirmed", at)
		return
	}
	k.note("changed "+items[0].Name, at)
}

// Failed notes a failure.
func (k *sink) Failed(error) { k.note("failed", 0) }

func (k *sink) all() ([]string, []clock.Millis) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.told...), append([]clock.Millis(nil), k.times...)
}

// TestFollowing holds the order of calls: from the list's revision, past a broken watch
// with the same revision, and a new list when the history is gone.
func TestFollowing(t *testing.T) {
	store := &script{steps: []step{
		{err: errors.New("down")},
		{listing: watcher.Listing{Revision: 3}},
		{listing: watcher.Listing{Revision: 5, Items: []watcher.Item{{Name: "a"}}}},
		{err: errors.New("cut off")},
		{listing: watcher.Listing{Revision: 5}},
		{err: watcher.ErrHistoryGone},
		{listing: watcher.Listing{Revision: 8}},
	}}
	told := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		watcher.New(store, "kind", watcher.Pace{Wait: clock.Second}, told).Run(ctx)
		close(done)
	}()
	want := []string{"list", "list", "watch 3", "watch 5", "watch 5", "watch 5", "list", "watch 8"}
	require.Eventually(t, func() bool { return len(store.made()) == len(want) }, 3*time.Second, 5*time.Millisecond)
	cancel()
	<-done
	require.Equal(t, want, store.made())
	texts, _ := told.all()
	require.Equal(t, []string{"failed", "listed", "changed a", "failed", "confirmed", "listed"}, texts)
}

// TestWatchesAreShortAfterAFailure holds that an instance learns soon that the store is
// back: until it has answered, a watch waits for a moment only.
func TestWatchesAreShortAfterAFailure(t *testing.T) {
	store := &script{steps: []step{
		{listing: watcher.Listing{Revision: 1}},
		{err: errors.New("cut off")},
		{err: errors.New("cut off")},
		{listing: watcher.Listing{Revision: 1}},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watcher.New(store, "kind", watcher.Pace{Wait: 5 * clock.Second}, &sink{}).Run(ctx)
	waits := func() []clock.Millis {
		store.mu.Lock()
		defer store.mu.Unlock()
		return append([]clock.Millis(nil), store.waits...)
	}
	require.Eventually(t, func() bool { return len(waits()) == 4 }, 3*time.Second, 5*time.Millisecond)
	require.Equal(t, []clock.Millis{5000, 100, 100, 5000}, waits())
}

// TestAgeOfKnowledge holds as of when an answer is taken: never later than the store can
// have given it.
func TestAgeOfKnowledge(t *testing.T) {
	const wait = 100 * clock.Millisecond
	store := &script{steps: []step{
		{listing: watcher.Listing{Revision: 1}, after: 60 * time.Millisecond},
		{listing: watcher.Listing{Revision: 1}, after: 150 * time.Millisecond},
		{listing: watcher.Listing{Revision: 2, Items: []watcher.Item{{Name: "a"}}}, after: 150 * time.Millisecond},
		{listing: watcher.Listing{Revision: 2}, after: 20 * time.Millisecond},
	}}
	told := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := bootclock.Now()
	go watcher.New(store, "kind", watcher.Pace{Wait: wait}, told).Run(ctx)
	require.Eventually(t, func() bool { texts, _ := told.all(); return len(texts) == 4 }, 3*time.Second, time.Millisecond)
	_, times := told.all()
	const slack = 45 // slack is what a busy machine may take between two calls, in ms.
	require.InDelta(t, 0, int64(times[0]-began), slack, "a list was asked for at the beginning")
	require.InDelta(t, 60+100, int64(times[1]-began), slack, "a watch without a change was answered after its wait")
	require.InDelta(t, 60+150, int64(times[2]-began), 2*slack, "a change may be older than its answer, but not than its question")
	require.InDelta(t, 60+300, int64(times[3]-began), 3*slack, "a watch that was cut short tells of the time of its question")
}

// TestRest holds that changes gather between two watches.
func TestRest(t *testing.T) {
	store := &script{steps: []step{{listing: watcher.Listing{Revision: 1}}}}
	for range 4 {
		store.steps = append(store.steps, step{listing: watcher.Listing{Revision: 2, Items: []watcher.Item{{Name: "a"}}}})
	}
	told := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	go watcher.New(store, "kind", watcher.Pace{Wait: clock.Second, Rest: 100 * clock.Millisecond}, told).Run(ctx)
	require.Eventually(t, func() bool { return len(store.made()) == 6 }, 3*time.Second, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), 390*time.Millisecond)
}
