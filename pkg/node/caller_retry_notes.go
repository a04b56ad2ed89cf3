package node

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/repeat"
)

// noteBatchDelay is the time for which notes to other entries are gathered.
const noteBatchDelay = 5 * time.Millisecond

// maxQueuedNotes bounds the notes that wait to be sent; more are dropped, and the budget of their requests then
// holds for each entry alone.
const maxQueuedNotes = 4096

// retryNotes is the message with which an entry tells others of requests that failed there.
type retryNotes struct {
	Notes []repeat.Note `json:"notes"`
}

// queueRetryNote tells the other entries of a request that failed after it was sent on, since its caller may
// repeat it through any of them.
func (n *Node) queueRetryNote(key string, e *repeat.Entry) {
	left, sent := n.guard.Left(e)
	if !sent {
		return
	}
	select {
	case n.notes <- repeat.Note{Key: key, Left: left}:
	default:
		n.log.call.Warn("notes of repeats are dropped")
	}
}

// broadcastRetryNotes gathers notes and sends them to every other entry VM.
func (n *Node) broadcastRetryNotes() {
	for {
		var batch []repeat.Note
		select {
		case note := <-n.notes:
			batch = append(batch, note)
		case <-n.ctx.Done():
			return
		}
		if !clock.Sleep(n.ctx, noteBatchDelay) {
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
		n.sendRetryNotes(retryNotes{batch})
	}
}

func (n *Node) sendRetryNotes(msg retryNotes) {
	for _, v := range n.snapshot.Load().vms {
		if v.Service != "" || v.Name == n.cfg.VM {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(n.ctx, exchangeTimeout)
			defer cancel()
			var reply struct{}
			if err := n.peers.control(ctx, v.Name, v.Peer, pathRetryNotes, msg, &reply); err != nil {
				n.log.call.Debug("notes of repeats didn't arrive", "vm", v.Name, "err", err)
			}
		}()
	}
}

func (n *Node) handleRetryNotes(msg retryNotes) (struct{}, error) {
	now := n.clock.Now()
	for _, note := range msg.Notes {
		n.guard.Learn(now, note)
	}
	return struct{}{}, nil
}
