// Package zybudget counts the bytes that a process holds for requests and responses, over all
// connections, and decides who gives way when they are too many.
package zybudget

import (
	"errors"
	"math"
	"sync"
	"time"
)

const (
	// smallSize is up to which size a holder may use the whole limit. Larger ones leave
	// 1/smallShare of it, so that small requests are served beside large ones.
	smallSize  = 64 << 10
	smallShare = 16
	// listedSize is from which size a holder may have to give way.
	listedSize = 4 << 10
	// yieldTime is how long a holder waits for the bytes of others that give way.
	yieldTime = 500 * time.Millisecond
	// stallTime is after which time without progress a holder gives way to any other.
	stallTime = 2 * time.Second
)

var (
	// ErrExhausted means that no bytes are left, and no other holder should give way.
	ErrExhausted = errors.New("no memory is left for it")
	// ErrEvicted means that the holder had to give way to others.
	ErrEvicted = errors.New("it gave way to others for lack of memory")
)

// Budget limits the bytes that its holders have together. It is safe for concurrent use; a nil
// Budget has no limit. A Budget must be made with New.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// yielding is how many of the bytes belong to holders that give way and have not released
	// them yet.
	yielding int64
	// listed are the holders that can give way.
	listed map[*Holder]struct{}
	// released is closed and replaced when bytes are released.
	released chan struct{}
}

// New returns a budget of limit bytes; 0 sets no limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit, listed: make(map[*Holder]struct{}), released: make(chan struct{})}
}

// Used returns how many bytes are held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns how many bytes may be held; 0 means any number.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Exhausted reports whether more bytes are held than the limit.
func (b *Budget) Exhausted() bool {
	return b != nil && b.Limit() > 0 && b.Used() > b.Limit()
}

// SetLimit changes how many bytes may be held. Those that are held already stay.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Hold returns a holder without bytes. If it has to give way, yield is called once, and must end
// what the holder waits for without blocking.
func (b *Budget) Hold(yield func()) *Holder {
	if b == nil {
		return &Holder{}
	}
	return &Holder{budget: b, yield: yield}
}

// Holder is one request or response whose bytes are counted. It is used by one goroutine.
type Holder struct {
	budget *Budget
	yield  func()

	// The fields below are protected by budget.mu.
	size     int64
	progress time.Time
	pinned   bool
	evicted  bool
}

// Grow counts n more bytes, which are about to be allocated. If others have to give way, it waits
// until they have released their bytes. The error is ErrExhausted or ErrEvicted.
func (h *Holder) Grow(now time.Time, n int64) error {
	b := h.budget
	if b == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		victim, released, err := b.tryGrow(now, h, n)
		if err != nil || victim == nil && released == nil {
			return err
		}
		if victim != nil {
			victim.yield()
			continue
		}
		if timeout == nil {
			timeout = time.After(yieldTime)
		}
		select {
		case <-released:
		case <-timeout:
			return ErrExhausted
		}
	}
}

// tryGrow counts n more bytes for the holder if there is room. If not, it returns a holder that has
// to give way now, or the channel that is closed when bytes are released.
func (b *Budget) tryGrow(now time.Time, h *Holder, n int64) (*Holder, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return nil, nil, ErrEvicted
	}
	h.progress = now
	limit := b.limitFor(h.size + n)
	if b.used+n <= limit {
		b.add(h, n)
		return nil, nil, nil
	}
	if b.used-b.yielding+n <= limit {
		return nil, b.released, nil
	}
	v := b.victim(now, h, h.size+n)
	if v == nil {
		return nil, nil, ErrExhausted
	}
	v.evicted = true
	b.yielding += v.size
	delete(b.listed, v)
	return v, nil, nil
}

// growIfFree counts n more bytes if nobody has to give way.
func (h *Holder) growIfFree(now time.Time, n int64) bool {
	b := h.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted || b.used+n > b.limitFor(h.size+n) {
		return false
	}
	h.progress = now
	b.add(h, n)
	return true
}

// Shrink counts n bytes less.
func (h *Holder) Shrink(n int64) {
	b := h.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(h, n)
}

// Progress records that bytes were transferred.
func (h *Holder) Progress(now time.Time) {
	b := h.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = now
}

// Add counts n more bytes whatever the limit, since they are there already.
func (h *Holder) Add(now time.Time, n int64) {
	b := h.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.evicted {
		h.progress = now
		b.add(h, n)
	}
}

// Pin counts n more bytes whatever the limit, since they are there already, and keeps the holder
// from giving way: its bytes are complete.
func (h *Holder) Pin(n int64) error {
	b := h.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted {
		return ErrEvicted
	}
	h.pinned = true
	delete(b.listed, h)
	b.used += n
	h.size += n
	return nil
}

// Release ends the holding of all bytes.
func (h *Holder) Release() {
	b := h.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free(h, h.size)
	delete(b.listed, h)
}

// Evicted reports whether the holder had to give way.
func (h *Holder) Evicted() bool {
	b := h.budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return h.evicted
}

// add counts n more bytes. b.mu must be held.
func (b *Budget) add(h *Holder, n int64) {
	b.used += n
	h.size += n
	if h.size >= listedSize && !h.pinned {
		b.listed[h] = struct{}{}
	}
}

// free counts n bytes less. b.mu must be held.
func (b *Budget) free(h *Holder, n int64) {
	b.used -= n
	h.size -= n
	if h.evicted {
		b.yielding -= n
	}
	if n > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// limitFor returns the limit for a holder of the size. b.mu must be held.
func (b *Budget) limitFor(size int64) int64 {
	switch {
	case b.limit <= 0:
		return math.MaxInt64
	case size <= smallSize:
		return b.limit
	}
	return b.limit - b.limit/smallShare
}

// victim returns the holder that gives way to one that grows to the size: the one that stalls for
// the longest time, or else the largest one if that is larger. It returns nil if there is none.
// b.mu must be held.
func (b *Budget) victim(now time.Time, except *Holder, size int64) *Holder {
	var stalled, largest *Holder
	for h := range b.listed {
		if h == except {
			continue
		}
		if now.Sub(h.progress) >= stallTime && (stalled == nil || h.progress.Before(stalled.progress)) {
			stalled = h
		}
		if h.size > size && (largest == nil || h.size > largest.size) {
			largest = h
		}
	}
	if stalled != nil {
		return stalled
	}
	return largest
}
