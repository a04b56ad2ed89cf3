package node

import (
	"context"
	"time"

	"github.com/rockspoke/rockspoke/pkg/clock"
	"github.com/rockspoke/rockspoke/pkg/repeat"
)

// noteBatchDelay is the time for which notes to other entries are batched.
const noteBatchDelay = 5 * time.Millisecond

// maxQueuedNotes limits the notes that wait to be sent. Further ones are dropped; each entry then applies the retry
// budget of their requests on its own.
const maxQueuedNotes = 4096

// retryNotes is the message by which an entry tells others of requests that failed there.
type retryNotes struct {
	Notes []repeat.RetryNotice `json:"notes"`
}

// queueRetryNote queues a note to the other entries on a request that failed after it was sent, since the caller may
// retry through any of them.
func (n *Node) queueRetryNote(key string, e *repeat.Record) {
	left, sent := n.guard.TokensLeft(e)
	if !sent {
		return
	}
	select {
	case n.notes <- repeat.RetryNotice{Key: key, TokensLeft: left, Uncertain: n.guard.Uncertain(e)}:
	default:
		n.log.call.Warn("retry note dropped: the queue is full")
	}
}

// broadcastRetryNotes batches queued notes and sends them to every other entry VM, until the daemon stops.
func (n *Node) broadcastRetryNotes() {
	for {
		var batch []repeat.RetryNotice
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

// sendRetryNotes sends a batch of notes to every other entry VM, without waiting for replies.
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
				n.log.call.Debug("retry notes not delivered", "vm", v.Name, "err", err)
			}
		}()
	}
}

// handleRetryNotes adopts another entry's notes; the error is always nil.
func (n *Node) handleRetryNotes(msg retryNotes) (struct{}, error) {
	now := n.clock.Now()
	for _, note := range msg.Notes {
		n.guard.ApplyNotice(now, note)
	}
	return struct{}{}, nil
}
