package placer

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// settle is how long what was sent to a server counts as there, whatever older
	// news of the server says: news come some hundred milliseconds late, and once a
	// second.
	settle = 1500 * clock.Millisecond
	// seenFor is how long after the latest news of a server it is left to the server to
	// say what it drops; without news, that is estimated.
	seenFor = 5 * clock.Second
	// seenMemory is how many times a server's memory the parts that count as there may
	// take meanwhile: what was sent lately and is not read yet counts as well.
	seenMemory = 2
	// unheardFor is how long a part counts as there that was sent to a server which
	// tells what it has, and has not told of it: it was refused, or dropped at once.
	unheardFor = 4 * clock.Second
	// freshFor is how long after its last use a part is taken not to be dropped by an
	// engine between two readings: those unused for longest go first.
	freshFor = 2 * clock.Second
	// blockTokens is how many tokens a part may lack and still count as whole: engines
	// keep whole blocks.
	blockTokens = 16
	// maxShared bounds the parts that are known to be shared.
	maxShared = 8192
)

// Key identifies a part of a prompt under a salt.
func Key(salt, part string) uint64 { return keyOf(salt, part) }

// Saw takes in what the server has of a part, by its own word; 0 tokens when it has
// dropped it.
func (p *Placer) Saw(now clock.Millis, server string, key uint64, tokens int64) {
	known := p.keptAt(server)
	known.seenAt, known.memory = now, seenMemory*known.full
	known.saw(now, key, tokens)
}

// Anew drops what is known of the server's cache but for what was sent there just now.
func (p *Placer) Anew(now clock.Millis, server string) {
	known := p.keptAt(server)
	for key, part := range known.parts {
		if now.Since(part.sent) > settle {
			known.drop(key)
		}
	}
}

// Shared reports whether prompts with different last parts have had the part.
func (p *Placer) Shared(key uint64) bool {
	_, ok := p.shared[key]
	return ok
}

func (p *Placer) noteShared(key uint64) {
	if len(p.shared) >= maxShared {
		clear(p.shared)
	}
	p.shared[key] = struct{}{}
}

// saw sets what the server has of the part.
func (k *kept) saw(now clock.Millis, key uint64, tokens int64) {
	part, ok := k.parts[key]
	if ok && tokens < part.tokens && now.Since(part.sent) <= settle {
		return
	}
	if tokens == 0 {
		k.drop(key)
		return
	}
	if ok && tokens < part.tokens {
		k.tokens += tokens - part.tokens
		part.tokens = tokens
		k.parts[key] = part
		return
	}
	k.touch(now, key, tokens)
	if part, ok = k.parts[key]; ok {
		part.sure = true
		k.parts[key] = part
	}
}

func (k *kept) drop(key uint64) {
	k.tokens -= k.parts[key].tokens
	delete(k.parts, key)
}
