package mesh

import (
	"github.com/ugorji/go/codec"

	"github.com/rockspoke/rockspoke/pkg/directory"
)

// message is what two nodes tell each other.
type message struct {
	From     string             `codec:"f"`
	Version  int64              `codec:"v"` // desired state in force
	Stopping bool               `codec:"x,omitempty"`
	Records  []directory.Record `codec:"r,omitempty"`
	Reports  []loadReport       `codec:"l,omitempty"`
	State    []byte             `codec:"s,omitempty"` // desired state, for a peer that has an older one
}

// wireFormat is msgpack with structs as arrays: exchanges between availability zones are paid by the byte.
var wireFormat = func() *codec.MsgpackHandle {
	h := &codec.MsgpackHandle{WriteExt: true}
	h.StructToArray = true
	return h
}()

func encodeMessage(m message) ([]byte, error) {
	var b []byte
	err := codec.NewEncoderBytes(&b, wireFormat).Encode(m)
	return b, err
}

func decodeMessage(data []byte) (message, error) {
	var m message
	err := codec.NewDecoderBytes(data, wireFormat).Decode(&m)
	return m, err
}

// newMessage tells what this node knows, with the desired state if the peer's version is lower.
func (n *Node) newMessage(peerVersion int64) message {
	m := message{From: n.ip, Stopping: n.stop.leaving(), Records: n.control.directory.All()}
	for _, r := range n.control.reports {
		m.Reports = append(m.Reports, *r)
	}
	if s := n.state.Load(); s != nil {
		m.Version = s.Version
		if peerVersion >= 0 && peerVersion < s.Version {
			m.State = s.Source
		}
	}
	return m
}
