package versionassigner_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/versionassigner"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const (
	era    = 3
	routes = "routes"
)

func settled(shares map[string]int) versionassigner.Record {
	return versionassigner.New(era, routes, shares).WithoutEarlier()
}

// TestPickFollowsTheShares guards against versions that get streams out of proportion to
// their servers, and against a change that moves more streams than it must.
func TestPickFollowsTheShares(t *testing.T) {
	before, after := settled(map[string]int{"v1": 9}), settled(map[string]int{"v1": 8, "v2": 4})
	moved := 0
	const streams = 3000
	for i := range streams {
		stream := fmt.Sprint("stream-", i)
		require.Equal(t, "v1", before.Pick(stream))
		if after.Pick(stream) == "v2" {
			moved++
		}
	}
	require.InDelta(t, streams/3, moved, streams/20)
}

// TestSharesAreBounded guards against assignments that grow with the number of servers, and
// against a version with few servers that gets no share.
func TestSharesAreBounded(t *testing.T) {
	for name, test := range map[string]struct{ servers, shares map[string]int }{
		"few servers":    {map[string]int{"v1": 8, "v2": 1}, map[string]int{"v1": 8, "v2": 1}},
		"many servers":   {map[string]int{"v1": 100, "v2": 40}, map[string]int{"v1": 11, "v2": 5}},
		"one of many":    {map[string]int{"v1": 139, "v2": 1}, map[string]int{"v1": 16, "v2": 1}},
		"none":           {map[string]int{}, map[string]int{}},
		"a gone version": {map[string]int{"v1": 0, "v2": 3}, map[string]int{"v2": 3}},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.shares, versionassigner.Shares(test.servers)) })
	}
}

// TestResolveOnlyWhereAllAssignmentsAgree guards against streams that go on at a version that
// need not have begun them.
func TestResolveOnlyWhereAllAssignmentsAgree(t *testing.T) {
	v1, mixed, v2 := map[string]int{"v1": 9}, map[string]int{"v1": 5, "v2": 4}, map[string]int{"v2": 9}
	record := settled(v1).WithCurrent(mixed)
	known := 0
	for i := range 200 {
		stream := fmt.Sprint("stream-", i)
		if version, ok := record.Resolve(stream); ok {
			known++
			require.Equal(t, "v1", version)
			require.Equal(t, "v1", record.Pick(stream))
		}
	}
	require.InDelta(t, 110, known, 30)
	for name, test := range map[string]struct {
		record versionassigner.Record
		sole   bool
		onlyV1 bool
	}{
		"settled":              {settled(v1), true, true},
		"no assignment before": {versionassigner.New(era, routes, v1), false, true},
		"another version":      {settled(v1).WithCurrent(v2), false, false},
		"another era":          {settled(v1).WithOrigin(era+1, routes), false, true},
		"too many earlier":     {settled(v1).WithCurrent(v1).WithCurrent(v1).WithCurrent(v1).WithCurrent(v1).WithCurrent(v1), false, true},
		"the time has passed":  {settled(v1).WithCurrent(v2).WithLeft(clock.Second).At(clock.Second), true, false},
		"the time is left":     {settled(v1).WithCurrent(v2).WithLeft(clock.Second).At(900), false, false},
		"the time is unknown":  {settled(v1).WithCurrent(v2).At(clock.Minute), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.onlyV1, test.record.NamesOnly("v1"))
			_, sole := test.record.Sole()
			require.Equal(t, test.sole, sole)
			_, ok := test.record.Resolve("stream")
			require.Equal(t, test.sole, ok)
			decoded, err := versionassigner.Decode(test.record.Encode())
			require.NoError(t, err)
			require.Equal(t, test.record.Encode(), decoded.Encode())
		})
	}
}

// TestNextRecord guards against records that forget a stream that may be left, and against
// writes without a reason.
func TestNextRecord(t *testing.T) {
	v1, v2 := map[string]int{"v1": 9}, map[string]int{"v2": 9}
	changed := settled(v1).WithCurrent(v2)
	exceptions := map[uint64][]string{versionassigner.Hash("late"): {"v1"}}
	view := versionassigner.View{Era: era, Routes: routes, Servers: v2, Age: clock.Second}
	with := func(change func(v *versionassigner.View)) versionassigner.View {
		next := view
		change(&next)
		return next
	}
	for name, test := range map[string]struct {
		record  versionassigner.Record
		view    versionassigner.View
		changes bool
		settled bool
		// version is that of the stream "late"; empty if it is unknown.
		version string
	}{
		"as the servers":             {settled(v2), view, false, true, "v2"},
		"no server":                  {settled(v2), with(func(v *versionassigner.View) { v.Servers = nil }), false, true, "v2"},
		"a version without a share":  {settled(v1), view, true, false, ""},
		"the same, just written":     {settled(v1), with(func(v *versionassigner.View) { v.Age = 100 }), false, true, "v1"},
		"a small difference":         {settled(map[string]int{"v2": 9}), with(func(v *versionassigner.View) { v.Servers = map[string]int{"v2": 8}; v.Age = clock.Minute }), false, true, "v2"},
		"another era":                {settled(v2), with(func(v *versionassigner.View) { v.Era++ }), true, false, ""},
		"other routes":               {settled(v2), with(func(v *versionassigner.View) { v.Routes = "others" }), true, false, ""},
		"not known by all":           {changed, view, false, false, ""},
		"known by all":               {changed, with(func(v *versionassigner.View) { v.Clean = true }), true, true, "v2"},
		"a stream is left":           {changed, with(func(v *versionassigner.View) { v.Clean, v.Exceptions = true, exceptions }), true, true, "v1"},
		"unknown ones may be left":   {changed, with(func(v *versionassigner.View) { v.Clean, v.Left = true, clock.Second }), true, false, ""},
		"as long as before":          {changed.WithLeft(clock.Second), with(func(v *versionassigner.View) { v.Clean, v.Left, v.Age = true, 900, 400 }), false, false, ""},
		"the time left has fallen":   {changed.WithLeft(clock.Second), with(func(v *versionassigner.View) { v.Clean, v.Left, v.Age = true, 400, 600 }), true, false, ""},
		"the time left has passed":   {changed.WithLeft(clock.Second), view, true, true, "v2"},
		"too many streams are left":  {changed, with(func(v *versionassigner.View) { v.Clean, v.Exceptions = true, manyExceptions() }), false, false, ""},
		"two versions of one stream": {changed, with(func(v *versionassigner.View) { v.Clean, v.Exceptions = true, conflict() }), true, true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			next, changes := test.record.Next(test.view)
			require.Equal(t, test.changes, changes)
			if !changes {
				next = test.record
			}
			require.Equal(t, test.settled, next.Settled())
			version, known := next.Resolve("late")
			require.Equal(t, test.version != "", known)
			if known {
				require.Equal(t, test.version, version)
			}
		})
	}
}

func manyExceptions() map[uint64][]string {
	exceptions := map[uint64][]string{}
	for i := range versionassigner.MaxExceptions + 1 {
		exceptions[uint64(i)] = []string{"v1"}
	}
	return exceptions
}

func conflict() map[uint64][]string {
	return map[uint64][]string{versionassigner.Hash("late"): {"v1", "v2"}}
}

// TestInvalidRecords guards against objects of other writers that would assign streams.
func TestInvalidRecords(t *testing.T) {
	for name, value := range map[string]string{
		"no JSON":            `{`,
		"no assignment":      `{"era":1}`,
		"a negative share":   `{"current":{"v1":-1}}`,
		"a huge share":       `{"current":{"v1":1000000000}}`,
		"another type":       `{"current":["v1"]}`,
		"too many earlier":   `{"current":{"v1":1},"earlier":[{},{},{},{},{}]}`,
		"a long name":        `{"current":{"` + strings.Repeat("v", 300) + `":1}}`,
		"an exception":       `{"current":{"v1":1},"exceptions":{"v1":["no number"]}}`,
		"a negative version": `{"current":{"v1":1},"earlier":[{"v2":-3}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := versionassigner.Decode([]byte(value))
			require.Error(t, err)
		})
	}
}
