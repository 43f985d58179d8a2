package placer

import (
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// sending is a shared part that was sent to a server lately.
type sending struct {
	at     clock.Millis
	server string
	part   [2]uint64
}

const (
	// tellFor is how long the others are told of a sending: some digests, as some are
	// lost.
	tellFor = 400 * clock.Millisecond
	// maxRecent bounds the sendings that the others are told of.
	maxRecent = 128
)

// Sent returns the keys and the tokens of the shared parts that were sent lately, by
// server.
func (p *Placer) Sent(now clock.Millis) map[string][][2]uint64 {
	sent := map[string][][2]uint64{}
	for _, s := range p.recent {
		if now.Since(s.at) <= tellFor && !slices.Contains(sent[s.server], s.part) {
			sent[s.server] = append(sent[s.server], s.part)
		}
	}
	return sent
}

// HeardSent takes in the shared parts that a peer has sent lately.
func (p *Placer) HeardSent(now clock.Millis, sent map[string][][2]uint64) {
	for _, server := range slices.Sorted(maps.Keys(sent)) {
		ready := now.Add(max(readTime, p.readingTime(server, p.LoadAt(now, server).Prefill)))
		for _, part := range sent[server] {
			p.noteShared(part[0])
			p.keptAt(server).use(now, ready, part[0], int64(part[1]))
		}
	}
}
