package datagram

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/keepermessage"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
)

// marker is the first byte of a message to or from a keeper. No digest begins with it.
const marker = 0

// maxEntries limits the engines in a message, and maxParts the parts of a prompt.
const (
	maxEntries = 64
	maxParts   = 64
)

// IsKeeperMessage reports whether a datagram is a message to or from a keeper.
func IsKeeperMessage(datagram []byte) bool { return len(datagram) > 0 && datagram[0] == marker }

// EncodeKeeperMessage returns the message as a datagram.
func EncodeKeeperMessage(m keepermessage.Message) ([]byte, error) {
	message := &edgev1.KeeperMessage{Kind: uint32(m.Kind), Address: m.Address, Id: m.ID}
	for _, entry := range m.Entries {
		encoded := &edgev1.KeeperEntry{Server: entry.Server, Millis: int64(entry.Time), CachedTokens: entry.CachedTokens}
		for _, part := range entry.Parts {
			encoded.Keys, encoded.Tokens = append(encoded.Keys, part[0]), append(encoded.Tokens, part[1])
		}
		message.Entries = append(message.Entries, encoded)
	}
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{marker}, message)
	if err != nil {
		return nil, errors.Wrap(err, "datagram.EncodeKeeperMessage")
	}
	return datagram, nil
}

// DecodeKeeperMessage decodes and validates a datagram.
func DecodeKeeperMessage(datagram []byte) (keepermessage.Message, error) {
	if !IsKeeperMessage(datagram) {
		return keepermessage.Message{}, errors.New("datagram.DecodeKeeperMessage: the datagram is no message of a keeper")
	}
	var message edgev1.KeeperMessage
	if err := proto.Unmarshal(datagram[1:], &message); err != nil {
		return keepermessage.Message{}, errors.Wrap(err, "datagram.DecodeKeeperMessage")
	}
	if kind := keepermessage.Kind(message.GetKind()); kind < keepermessage.Query || kind > keepermessage.Added {
		return keepermessage.Message{}, errors.Errorf("datagram.DecodeKeeperMessage: kind %d is unknown", kind)
	}
	if len(message.GetEntries()) > maxEntries {
		return keepermessage.Message{}, errors.Errorf("datagram.DecodeKeeperMessage: %d entries; the limit is %d", len(message.GetEntries()), maxEntries)
	}
	decoded := keepermessage.Message{Kind: keepermessage.Kind(message.GetKind()), Address: message.GetAddress(), ID: message.GetId()}
	for _, encoded := range message.GetEntries() {
		if len(encoded.GetKeys()) != len(encoded.GetTokens()) || len(encoded.GetKeys()) > maxParts {
			return keepermessage.Message{}, errors.Errorf("datagram.DecodeKeeperMessage: an entry has %d keys and %d token counts", len(encoded.GetKeys()), len(encoded.GetTokens()))
		}
		entry := keepermessage.Entry{Server: encoded.GetServer(), Time: age(encoded.GetMillis()), CachedTokens: max(0, bounded(encoded.GetCachedTokens()))}
		for i, key := range encoded.GetKeys() {
			entry.Parts = append(entry.Parts, [2]uint64{key, min(encoded.GetTokens()[i], maxCount)})
		}
		decoded.Entries = append(decoded.Entries, entry)
	}
	return decoded, nil
}
