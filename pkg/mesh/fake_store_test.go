package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockspoke/rockspoke/pkg/desired"
	"github.com/rockspoke/rockspoke/pkg/directory"
	"github.com/rockspoke/rockspoke/pkg/loads"
)

// fakeStore is a store in memory that can be set to fail.
type fakeStore struct {
	mu          sync.Mutex
	state       []byte
	version     int64
	epoch       int64
	backup      func()        // restores the content as it was at backUp
	changed     chan struct{} // closed and made anew at each change
	records     map[string]directory.Record
	learned     map[string]loads.Learned
	quarantined map[string]Quarantined
	writeCount  int
	down        bool
	rejectedVMs map[string]bool   // VMs whose calls for the desired state fail
	delay       time.Duration     // before each read is answered
	silenced    chan struct{}     // closed and made anew by silence
	followCalls map[string]int    // calls that wait for changes, by VM
	calls       map[storeCall]int // by kind
}

// newFakeStore returns an empty store in its first epoch.
func newFakeStore() *fakeStore {
	return &fakeStore{calls: map[storeCall]int{}, followCalls: map[string]int{}, epoch: 1, changed: make(chan struct{}), silenced: make(chan struct{}), records: map[string]directory.Record{}, learned: map[string]loads.Learned{}, quarantined: map[string]Quarantined{}}
}

// storeDownError is the error of each call while the store fails.
type storeDownError struct{}

func (storeDownError) Error() string { return "store is down" }

// put stores a desired state under the next version of the store.
func (s *fakeStore) put(st desired.State) {
	data, _ := json.Marshal(st)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = data
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown sets whether all calls fail; calls that wait for a change end.
func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDelay sets the delay of reads.
func (s *fakeStore) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// pause sleeps for the configured delay of one call.
func (s *fakeStore) pause() {
	s.mu.Lock()
	d := s.delay
	s.mu.Unlock()
	time.Sleep(d)
}

// storeFor returns the Store that a VM uses.
func (s *fakeStore) storeFor(vm string) Store {
	return Store{
		ReadState: func(ctx context.Context) ([]byte, Cursor, error) {
			if s.rejects(vm) {
				return nil, Cursor{}, storeDownError{}
			}
			return s.readState(ctx)
		},
		FollowState: func(ctx context.Context, after Cursor, wait time.Duration) ([]byte, Cursor, error) {
			s.countFollow(vm)
			data, next, err := s.followState(ctx, after, wait)
			if s.rejects(vm) {
				return nil, Cursor{}, storeDownError{}
			}
			return data, next, err
		},
		ReadRecords: s.readRecords, RecordParts: fakeParts, WriteRecord: s.writeRecord, WriteLearned: s.writeLearned, WriteQuarantined: s.writeQuarantined,
		Epoch: s.currentEpoch,
	}
}

// countFollow counts a VM's call that waits for changes.
func (s *fakeStore) countFollow(vm string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followCalls[vm]++
}

// followCallsOf returns how many calls that wait for changes a VM has made.
func (s *fakeStore) followCallsOf(vm string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followCalls[vm]
}

// backUp makes a backup of the store's content.
func (s *fakeStore) backUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, version, records, learned := s.state, s.version, maps.Clone(s.records), maps.Clone(s.learned)
	s.backup = func() { s.state, s.version, s.records, s.learned = state, version, records, learned }
}

// restoreBackup restores the backup and begins a new epoch.
func (s *fakeStore) restoreBackup() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup()
	s.epoch++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) currentEpoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// setRejected sets whether the VM's calls for the desired state fail.
func (s *fakeStore) setRejected(vm string, rejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rejectedVMs == nil {
		s.rejectedVMs = map[string]bool{}
	}
	s.rejectedVMs[vm] = rejected
}

// rejects reports whether the VM's calls for the desired state fail.
func (s *fakeStore) rejects(vm string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectedVMs[vm]
}

// callCount returns the number of calls of the given kinds.
func (s *fakeStore) callCount(kinds ...storeCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range kinds {
		n += s.calls[k]
	}
	return n
}

func (s *fakeStore) readState(context.Context) ([]byte, Cursor, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[readStateCall]++
	if s.down {
		return nil, Cursor{}, storeDownError{}
	}
	return s.state, Cursor{s.epoch, s.version}, nil
}

func (s *fakeStore) followState(ctx context.Context, after Cursor, wait time.Duration) ([]byte, Cursor, error) {
	expired := time.After(wait)
	s.mu.Lock()
	s.calls[followStateCall]++
	silenced := s.silenced
	s.mu.Unlock()
	for {
		s.mu.Lock()
		changed, down := s.changed, s.down
		data, v := s.state, Cursor{s.epoch, s.version}
		s.mu.Unlock()
		switch {
		case down:
			return nil, Cursor{}, storeDownError{}
		case v.Epoch != after.Epoch || v.Version < after.Version:
			return nil, Cursor{}, &HistoryGoneError{After: after}
		case v.Version > after.Version:
			return data, v, nil
		}
		select {
		case <-changed:
		case <-expired:
			return nil, v, nil
		case <-silenced:
			<-ctx.Done()
			return nil, Cursor{}, ctx.Err()
		case <-ctx.Done():
			return nil, Cursor{}, ctx.Err()
		}
	}
}

// silence has the calls that wait for a change get no answer.
func (s *fakeStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silenced)
	s.silenced = make(chan struct{})
}

// fakeParts is the number of parts over which the records are spread.
const fakeParts = 4

// partOf returns the part that a record is in.
func partOf(host string) int { return int(xxhash.Sum64String(host) % fakeParts) }

func (s *fakeStore) readRecords(_ context.Context, parts ...int) (Stored, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(parts) == 0 {
		parts = []int{0, 1, 2, 3}
	}
	s.calls[readRecordsCall] += len(parts)
	if s.down {
		return Stored{}, storeDownError{}
	}
	var out Stored
	for _, r := range s.records {
		if slices.Contains(parts, partOf(r.Host)) {
			out.Records = append(out.Records, r)
		}
	}
	for _, l := range s.learned {
		out.Learned = append(out.Learned, l)
	}
	for _, h := range s.quarantined {
		out.Quarantined = append(out.Quarantined, h)
	}
	return out, nil
}

// recordCount returns the number of stored records.
func (s *fakeStore) recordCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// recordWrites returns the number of successful record writes.
func (s *fakeStore) recordWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeCount
}

func (s *fakeStore) writeLearned(_ context.Context, l loads.Learned) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return storeDownError{}
	}
	s.learned[l.Service] = l
	return nil
}

func (s *fakeStore) writeQuarantined(_ context.Context, h Quarantined) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[writeQuarantinedCall]++
	if s.down {
		return storeDownError{}
	}
	s.quarantined[h.Service] = h
	return nil
}

func (s *fakeStore) writeRecord(_ context.Context, r directory.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[writeRecordCall]++
	if s.down {
		return storeDownError{}
	}
	s.records[r.Host] = r
	s.writeCount++
	return nil
}
