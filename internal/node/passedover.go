package node

// maxPassedOver bounds the keys of which the reason is kept.
const maxPassedOver = 1024

// passedOver holds why entries of a keyed topic are passed over. An entry is read with each
// heartbeat of its writer, and again after each compaction.
type passedOver map[string]string // by key

// isNew reports whether the entry with the key is passed over since now, or for another reason
// than before. err is the reason; nil: the entry is used.
func (p passedOver) isNew(key string, err error) bool {
	if err == nil {
		delete(p, key)
		return false
	}
	if p[key] == err.Error() {
		return false
	}
	if len(p) >= maxPassedOver {
		clear(p)
	}
	p[key] = err.Error()
	return true
}
