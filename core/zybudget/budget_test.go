package zybudget_test

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"
	"time"

	"zinniayoke/core/zybudget"
)

const mib = 1 << 20

// TestHolderThatGivesWay guards against a few holders, which are large or have stalled, that leave
// no memory for the requests of others.
func TestHolderThatGivesWay(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// sizes are those of the holders in order, 0.9 s after each other; the last one grows
		// at the end.
		sizes   []int64
		pinned  int
		want    error
		evicted int // Index of the holder that gives way, -1 for none.
	}{
		{"the largest one", []int64{2 * mib, 4 * mib, 2 * mib}, 0, nil, 1},
		{"not to one that is as large", []int64{7 * mib, 7 * mib}, 0, zybudget.ErrExhausted, -1},
		{"not if it is complete", []int64{7 * mib, mib}, 1, zybudget.ErrExhausted, -1},
		{"a small one beside complete large ones", []int64{15 * mib / 2, 64 << 10}, 1, nil, -1},
		{"the one that has stalled", []int64{mib, mib, mib, 5 * mib}, 0, nil, 0},
	} {
		b := zybudget.New(8 * mib)
		evicted := -1
		var holders []*zybudget.Holder
		var err error
		for i, size := range c.sizes {
			var h *zybudget.Holder
			h = b.Hold(func() {
				evicted = i
				time.AfterFunc(time.Millisecond, h.Release)
			})
			holders = append(holders, h)
			err = h.Grow(now.Add(time.Duration(i)*900*time.Millisecond), size)
			if i < c.pinned {
				err = h.Pin(0)
			}
		}
		if !errors.Is(err, c.want) || evicted != c.evicted {
			t.Errorf("%s: got %v, holder %d gives way; want %v, %d", c.name, err, evicted, c.want, c.evicted)
		}
		if evicted >= 0 && (!holders[evicted].Evicted() || !errors.Is(holders[evicted].Grow(now, 1), zybudget.ErrEvicted)) {
			t.Errorf("%s: the holder does not know", c.name)
		}
		if b.Used() > b.Limit() {
			t.Errorf("%s: %d bytes are held", c.name, b.Used())
		}
		for _, h := range holders {
			h.Release()
		}
		if b.Used() != 0 {
			t.Errorf("%s: %d bytes are held at the end", c.name, b.Used())
		}
	}
}

// TestBodiesAreCounted reads bodies of many sizes, of known and unknown length, and checks what is
// counted while they are read.
func TestBodiesAreCounted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		b := zybudget.New(32 * mib)
		h := b.Hold(func() {})
		want := make([]byte, random.IntN(4*mib))
		for i := range want {
			want[i] = byte(i * 7)
		}
		var r io.Reader = bytes.NewReader(want)
		if random.IntN(2) == 0 {
			r = iotest.DataErrReader(r)
		}
		buffer := zybudget.NewBuffer(h, 4*mib)
		var err error
		if random.IntN(2) == 0 {
			err = buffer.Read(r, int64(len(want)), true)
		} else {
			err = buffer.ReadAll(r)
		}
		if err != nil || !bytes.Equal(buffer.Bytes(), want) {
			t.Fatalf("%d bytes: %v, got %d", len(want), err, len(buffer.Bytes()))
		}
		if used := b.Used(); used != int64(cap(buffer.Bytes())) {
			t.Errorf("%d bytes: %d are counted, %d are held", len(want), used, cap(buffer.Bytes()))
		}
		h.Release()
	}
	buffer := zybudget.NewBuffer((*zybudget.Budget)(nil).Hold(nil), 10)
	if err := buffer.ReadAll(bytes.NewReader(make([]byte, 11))); !errors.Is(err, zybudget.ErrTooLarge) {
		t.Errorf("a body above its limit: %v", err)
	}
	if err := zybudget.NewBuffer((*zybudget.Budget)(nil).Hold(nil), 20).Read(bytes.NewReader(make([]byte, 11)), 12, true); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a body that ends early: %v", err)
	}
}
