package datagram

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
)

// originMarker is the first byte of a message about the origin of a stream. Neither a
// digest nor a message of a keeper of engines begins with it.
const originMarker = 1

// IsOriginMessage reports whether a datagram is a message about the origin of a stream.
func IsOriginMessage(datagram []byte) bool { return len(datagram) > 0 && datagram[0] == originMarker }

// EncodeOriginMessage returns the message as a datagram.
func EncodeOriginMessage(m originmessage.Message) ([]byte, error) {
	message := &edgev1.OriginMessage{
		Kind: uint32(m.Kind), Address: m.Address, Id: m.ID, Stream: m.Stream,
		Known: m.Known, Conflicting: m.Conflicting, PassOn: m.PassOn, Service: m.Origin.Service, SoftwareVersion: m.Origin.SoftwareVersion,
	}
	datagram, err := proto.MarshalOptions{}.MarshalAppend([]byte{originMarker}, message)
	if err != nil {
		return nil, errors.Wrap(err, "datagram.EncodeOriginMessage")
	}
	return datagram, nil
}

// DecodeOriginMessage decodes and validates a datagram.
func DecodeOriginMessage(datagram []byte) (originmessage.Message, error) {
	if !IsOriginMessage(datagram) {
		return originmessage.Message{}, errors.New("datagram.DecodeOriginMessage: the datagram is no message about the origin of a stream")
	}
	var message edgev1.OriginMessage
	if err := proto.Unmarshal(datagram[1:], &message); err != nil {
		return originmessage.Message{}, errors.Wrap(err, "datagram.DecodeOriginMessage")
	}
	kind := originmessage.Kind(message.GetKind())
	if kind < originmessage.Began || kind > originmessage.Reply {
		return originmessage.Message{}, errors.Errorf("datagram.DecodeOriginMessage: kind %d is unknown", kind)
	}
	if message.GetStream() == "" {
		return originmessage.Message{}, errors.New("datagram.DecodeOriginMessage: the stream is missing")
	}
	if names := kind == originmessage.Began || message.GetKnown(); names && message.GetService() == "" {
		return originmessage.Message{}, errors.New("datagram.DecodeOriginMessage: the service is missing")
	}
	return originmessage.Message{
		Kind: kind, Address: message.GetAddress(), ID: message.GetId(), Stream: message.GetStream(), Known: message.GetKnown(), Conflicting: message.GetConflicting(), PassOn: message.GetPassOn(),
		Origin: originkeeper.Origin{Service: message.GetService(), SoftwareVersion: message.GetSoftwareVersion()},
	}, nil
}
