package zyfence

// Holding returns how many entries shrink has to look at, at most.
func (t *Table) Holding() int {
	return len(t.holding)
}
