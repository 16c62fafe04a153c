package zymember_test

import (
	"testing"
	"time"

	"github.com/ugorji/go/codec"

	"zinniayoke"
	"zinniayoke/core/zymember"
)

// TestChangesOfOtherVersions guards against nodes that cannot read the member lists of nodes of
// another version, whose changes have no departure.
func TestChangesOfOtherVersions(t *testing.T) {
	type earlierChange struct {
		Upstream     zinniayoke.Upstream
		Status       zinniayoke.MemberStatus
		Incarnation  zinniayoke.Incarnation
		Fingerprint  uint64
		Crashes      int
		CrashesAlone int
	}
	handle := &codec.MsgpackHandle{}
	handle.StructToArray = true
	departure := zinniayoke.Departure{Host: "h", Instance: "i", Incarnation: 5, Sequence: 9, Recorded: time.UnixMilli(1234)}
	sent := []zymember.Change{
		{Upstream: zinniayoke.Upstream{Node: "h/1"}, Incarnation: 7},
		zymember.DepartureChange(departure),
		{Fingerprint: 3, Crashes: 2},
	}
	var raw []byte
	if err := codec.NewEncoderBytes(&raw, handle).Encode(sent); err != nil {
		t.Fatal(err)
	}
	var earlier []earlierChange
	if err := codec.NewDecoderBytes(raw, handle).Decode(&earlier); err != nil {
		t.Fatal(err)
	}
	if len(earlier) != 3 || earlier[0].Upstream.Node != "h/1" || earlier[1] != (earlierChange{}) || earlier[2].Fingerprint != 3 {
		t.Errorf("a node of an earlier version reads %+v", earlier)
	}
	if err := codec.NewEncoderBytes(&raw, handle).Encode(earlier); err != nil {
		t.Fatal(err)
	}
	var back []zymember.Change
	if err := codec.NewDecoderBytes(raw, handle).Decode(&back); err != nil {
		t.Fatal(err)
	}
	if back[0].Incarnation != 7 || back[0].Departure != nil || back[2].Crashes != 2 {
		t.Errorf("from a node of an earlier version, this one reads %+v", back)
	}
	packed, err := zymember.PackList(sent)
	if err != nil {
		t.Fatal(err)
	}
	list, err := zymember.UnpackList(packed)
	if err != nil {
		t.Fatal(err)
	}
	var got []zinniayoke.Departure
	table := zymember.NewTable(time.Now(), zymember.Config{OnDeparture: func(d zinniayoke.Departure) { got = append(got, d) }})
	table.Merge(time.Now(), list[1:2])
	if len(got) != 1 || !got[0].Recorded.Equal(departure.Recorded) || got[0].Sequence != 9 || got[0].Host != "h" {
		t.Errorf("the departure arrives as %+v", got)
	}
}
