// Package datagram encodes the datagrams that instances exchange: digests, and the messages
// to and from the keepers of engines and of the origins of streams. Fields that a decoder does not know are ignored, so
// that builds of different ages understand each other.
//
// # Usage
//
//	encoded, err := datagram.EncodeDigest(message)
//	encoded, err = datagram.AppendEcho(encoded, echo)
//	if datagram.IsKeeperMessage(received) {
//		message, err := datagram.DecodeKeeperMessage(received)
//	} else if datagram.IsOriginMessage(received) {
//		message, err := datagram.DecodeOriginMessage(received)
//	} else {
//		message, err := datagram.DecodeDigest(received)
//	}
package datagram
