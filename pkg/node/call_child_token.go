package node

// childToken is the token of a once-only call made by once-only work. Repeats of the call use the same token, so that the work runs once.
type childToken struct {
	in     *inbound
	id     uint64
	key    string // guarded by in.mu, as is shared
	shared bool   // a repeat of the call uses the token too
}

// childToken returns the token of the calls with the ID, and whether an earlier call uses it already. The first use takes it from
// issue; ok is false if that issued none.
func (in *inbound) childToken(id uint64, issue func() (string, bool)) (t *childToken, repeated, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if t, ok := in.tokens[id]; ok {
		t.shared = true
		return t, true, true
	}
	key, ok := issue()
	if !ok {
		return nil, false, false
	}
	if in.tokens == nil {
		in.tokens = map[uint64]*childToken{}
	}
	t = &childToken{in: in, id: id, key: key}
	in.tokens[id] = t
	return t, false, true
}

// replace sets another key, which later repeats of the call use as well. It reports false if a repeat uses the present one. A nil token
// has no repeats.
func (t *childToken) replace(key string) bool {
	if t == nil {
		return true
	}
	t.in.mu.Lock()
	defer t.in.mu.Unlock()
	if !t.shared {
		t.key = key
	}
	return !t.shared
}

// forget drops the token of a call that certainly didn't run, so that a repeat gets one with another home. It reports false if a repeat
// uses the token.
func (t *childToken) forget() bool {
	t.in.mu.Lock()
	defer t.in.mu.Unlock()
	if !t.shared {
		delete(t.in.tokens, t.id)
	}
	return !t.shared
}
