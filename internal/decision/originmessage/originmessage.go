// Package originmessage defines the messages in which instances tell each other where
// streams began.
//
// # Usage
//
//	message := originmessage.Message{Kind: originmessage.Query, Address: address, ID: 7, Stream: "stream-1"}
package originmessage

import "github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"

// Kind is the kind of a message.
type Kind int

// The kinds.
const (
	// Began tells a keeper where a stream began.
	Began Kind = iota + 1
	// Query asks a keeper where a stream began.
	Query
	// Reply is the answer to a query.
	Reply
)

// Message is a message to or from a keeper of origins.
type Message struct {
	Kind Kind
	// Address is the peer address of the sender, to which a reply goes.
	Address string
	// ID identifies the query in the reply.
	ID uint64
	// Stream is the identifier of the request that brought the stream's first event.
	Stream string
	// PassOn asks the receiver to tell the other keepers that the stream began.
	PassOn bool
	// Known reports whether the sender of a reply knows the origin.
	Known bool
	// Conflicting reports whether it knows two different ones, or that the origin which the
	// query presumes is not the only possible one.
	Conflicting bool
	// Origin is that of the stream. In a query it is the presumed one, without a service if there
	// is none, and likewise in a reply whose sender knows neither the stream nor another possible origin.
	Origin originkeeper.Origin
}
