package zyfence

// ResponseQueueLen returns the number of entries that dropResponses may have to
// examine.
func (t *Table) ResponseQueueLen() int {
	return len(t.withResponse)
}
