package node

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/repeat"
)

// noteDelay is the time for which notes to other entries are gathered.
const noteDelay = 5 * time.Millisecond

// maxNotes bounds the notes that wait to be sent; more are dropped, and the budget of their requests then
// holds for each entry alone.
const maxNotes = 4096

// repeatNotes is the message with which an entry tells others of requests that failed there.
type repeatNotes struct {
	Notes []repeat.RetryNotice `json:"notes"`
}

// noteRepeat tells the other entries of a request that failed after it was sent on, since its caller may
// repeat it through any of them.
func (n *Node) noteRepeat(key string, e *repeat.Record) {
	left, sent := n.guard.TokensLeft(e)
	if !sent {
		return
	}
	select {
	case n.notes <- repeat.RetryNotice{Key: key, TokensLeft: left}:
	default:
		n.log.call.Warn("notes of repeats are dropped")
	}
}

// sendNotes gathers notes and sends them to every other entry VM.
func (n *Node) sendNotes() {
	for {
		var batch []repeat.RetryNotice
		select {
		case note := <-n.notes:
			batch = append(batch, note)
		case <-n.ctx.Done():
			return
		}
		if !clock.Sleep(n.ctx, noteDelay) {
			return
		}
		for more := true; more; {
			select {
			case note := <-n.notes:
				batch = append(batch, note)
			default:
				more = false
			}
		}
		n.shareNotes(repeatNotes{batch})
	}
}

func (n *Node) shareNotes(msg repeatNotes) {
	for _, v := range n.snapshot.Load().vms {
		if v.Service != "" || v.Name == n.cfg.VM {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, exchangeTime)
			defer cancel()
			var reply struct{}
			if err := n.peers.control(ctx, v.Name, v.Peer, pathNotes, msg, &reply); err != nil {
				n.log.call.Debug("notes of repeats didn't arrive", "vm", v.Name, "err", err)
			}
		}()
	}
}

func (n *Node) takeNotes(msg repeatNotes) (struct{}, error) {
	now := n.clock.Now()
	for _, note := range msg.Notes {
		n.guard.ApplyNotice(now, note)
	}
	return struct{}{}, nil
}
