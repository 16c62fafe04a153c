package zyidempotency_test

import (
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

// TestImportedKeyHoldsBackTheRemovalOfOthers imports a record that is to be kept for an hour
// longer than the window, then a record of half a window's age. Records must go when they
// are due, or the table stays full and refuses new keys.
func TestImportedKeyHoldsBackTheRemovalOfOthers(t *testing.T) {
	g := zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: "w", MaxKeys: 10, Window: window})
	record := func(key zinniayoke.Key, age time.Duration) zyidempotency.KeyRecord {
		return zyidempotency.KeyRecord{Key: key, Slot: slot, State: zinniayoke.AttemptAnswered, Age: age}
	}
	g.Import(start, []zyidempotency.KeyRecord{record("kept", -time.Hour), record("old", window/2)}, nil)
	attempt := &zinniayoke.Attempt{ID: "a", Key: "begun", Grant: zinniayoke.Grant{Slot: slot}}
	if err := g.Begin(start, attempt); err != nil {
		t.Fatal(err)
	}
	g.End(start, attempt.Key, attempt.ID, &zinniayoke.Reply{Outcome: zinniayoke.OutcomeDone})
	for _, c := range []struct {
		at   time.Duration
		want int
	}{
		{window / 2, 3},
		{window/2 + time.Second, 2},
		{window + time.Second, 1},
		{time.Hour + window, 1},
		{time.Hour + window + time.Second, 0},
	} {
		if _, _, err := g.Promise(start.Add(c.at), nil, zinniayoke.Epoch{}); err != nil {
			t.Fatal(err)
		}
		if g.Len() != c.want {
			t.Errorf("%s after the import, the table has %d keys, want %d", c.at, g.Len(), c.want)
		}
	}
}
