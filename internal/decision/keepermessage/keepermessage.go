// Package keepermessage defines the messages that instances exchange with the keepers of
// engines: about the time that an engine still takes for earlier prompts, and about the
// parts of a prompt that it has cached.
//
// # Usage
//
//	message := keepermessage.Message{Kind: keepermessage.Query, Address: address, ID: 7, Entries: entries}
package keepermessage

import (
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Kind is the kind of a message.
type Kind int

// The kinds.
const (
	// Query asks for the state of some engines.
	Query Kind = iota + 1
	// Reply has the states that were asked for.
	Reply
	// Added reports prompts that were sent.
	Added
)

// Message is a query, a reply or a report.
type Message struct {
	Kind Kind
	// Address is the peer address of the sender, to which a reply goes.
	Address string
	// ID identifies the query in the reply.
	ID      uint64
	Entries []Entry
}

// Entry is about one engine.
type Entry struct {
	// Server identifies the engine as in a digest.
	Server uint32
	// Time is the engine's backlog or, in a report, the prefill time of the prompt.
	Time clock.Millis
	// CachedTokens is the length of the prompt's prefix that the engine has cached.
	CachedTokens int64
	// Parts are the keys and tokens of the prompt's shared parts, in order.
	Parts [][2]uint64
}
