// Package datagram encodes the datagrams that instances exchange: digests, and the messages
// to and from the keepers of engines. Fields that a decoder does not know are ignored, so
// that builds of different ages understand each other.
//
// # Usage
//
//	encoded, err := datagram.EncodeDigest(message)
//	encoded, err = datagram.AppendEcho(encoded, echo)
//	if datagram.IsKeeperMessage(received) {
//		message, err := datagram.DecodeKeeperMessage(received)
//	} else {
//		message, err := datagram.DecodeDigest(received)
//	}
package datagram
