package onceonly

// keyTable maps keys to values by key range, so that the keys of one range are found without a look at the others. Its zero value is empty.
type keyTable[V any] struct {
	byRange [NumRanges]map[KeyHash]V
	size    int
}

// get returns the key's value; it reports false if there is none.
func (t *keyTable[V]) get(key KeyHash) (V, bool) {
	v, ok := t.byRange[key.Range()][key]
	return v, ok
}

// put sets the key's value.
func (t *keyTable[V]) put(key KeyHash, v V) {
	r := key.Range()
	if t.byRange[r] == nil {
		t.byRange[r] = map[KeyHash]V{}
	}
	before := len(t.byRange[r])
	t.byRange[r][key] = v
	t.size += len(t.byRange[r]) - before
}

// remove removes the key.
func (t *keyTable[V]) remove(key KeyHash) {
	r := key.Range()
	before := len(t.byRange[r])
	delete(t.byRange[r], key)
	t.size -= before - len(t.byRange[r])
}

// inRange returns the keys and values of a range, which the caller may remove while it reads them; none for a range that doesn't exist.
func (t *keyTable[V]) inRange(r int) map[KeyHash]V {
	if r < 0 || r >= NumRanges {
		return nil
	}
	return t.byRange[r]
}
