package zyidempotency_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyidempotency"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func reply(id zinniayoke.AttemptID) *zinniayoke.Reply {
	return &zinniayoke.Reply{
		Attempt: id, Outcome: zinniayoke.OutcomeDone,
		Response: &zinniayoke.Response{Status: 200, Body: make([]byte, 256), Attempt: id},
	}
}

// BenchmarkKeys measures the memory and time that a key takes at its owner and in
// the grant table of the worker's node, with responses of 256 bytes.
func BenchmarkKeys(b *testing.B) {
	const keys = 50_000
	now := time.Unix(0, 0)
	slot := zinniayoke.KeySlot{Domain: "d"}
	for range b.N {
		before := heapBytes()
		owner := zyidempotency.NewOwner(zyidempotency.OwnerConfig{Node: "n", MaxKeys: keys, Window: time.Hour})
		owner.FinishRecovery(now, owner.StartRecovery([]zinniayoke.KeySlot{slot}, zinniayoke.Epoch{}))
		start := time.Now()
		for i := range keys {
			key := zinniayoke.Key(fmt.Sprintf("caller-0123\x00orderdesk/orders\x00%036d", i))
			d := owner.Claim(now, slot, key, uint64(i), 10)
			id := zinniayoke.AttemptID(fmt.Sprintf("%036d", i))
			owner.RecordSend(now, d.Grant, key, id, "worker/1")
			owner.RecordResult(now, d.Grant, key, reply(id), 1)
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/keys, "ns/key-at-keeper")
		b.ReportMetric(float64(heapBytes()-before)/keys, "B/key-at-keeper")
		before = heapBytes()
		grants := zyidempotency.NewGrantTable(zyidempotency.GrantTableConfig{Node: "n", MaxKeys: keys, Window: time.Hour})
		start = time.Now()
		for i := range keys {
			a := &zinniayoke.Attempt{
				ID:  zinniayoke.AttemptID(fmt.Sprintf("%036d", i)),
				Key: zinniayoke.Key(fmt.Sprintf("caller-0123\x00orderdesk/orders\x00%036d", i)), Grant: zinniayoke.Grant{Slot: slot},
			}
			if err := grants.Begin(now, a); err != nil {
				b.Fatal(err)
			}
			grants.End(now, a.Key, a.ID, reply(a.ID))
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/keys, "ns/key-at-worker")
		b.ReportMetric(float64(heapBytes()-before)/keys, "B/key-at-worker")
		runtime.KeepAlive(owner)
		runtime.KeepAlive(grants)
	}
}

// BenchmarkOwnedSlots measures finding the slots that one of 460 nodes of a domain
// owns.
func BenchmarkOwnedSlots(b *testing.B) {
	members := make([]zinniayoke.NodeID, 460)
	for i := range members {
		members[i] = zinniayoke.NodeID(fmt.Sprintf("host-%04d/%016x", i, i))
	}
	for range b.N {
		for n := range zyidempotency.SlotCount {
			zyidempotency.OwnerOf(zinniayoke.KeySlot{Domain: "domain", Number: n}, members)
		}
	}
}
