package zybudget

import (
	"errors"
	"io"
	"time"
)

const (
	firstSize = 1 << 10
	// largeSize is how much is allocated before any of a body of known length has arrived. The
	// last buffer of a body fits its length, because bodies are kept.
	largeSize = 1 << 20
)

// ErrTooLarge means that a body exceeds its limit.
var ErrTooLarge = errors.New("the body is larger than is taken")

// Buffer reads a body whose bytes are counted before they are allocated.
type Buffer struct {
	holder *Holder
	// limit limits the bytes.
	limit int64
	bytes []byte
}

// NewBuffer returns an empty buffer for at most limit bytes.
func NewBuffer(h *Holder, limit int64) *Buffer {
	return &Buffer{holder: h, limit: limit}
}

// Bytes returns what was read.
func (b *Buffer) Bytes() []byte {
	return b.bytes
}

// Read reads the next n bytes from r. last is true if the body has no more. The error is
// ErrTooLarge, ErrExhausted, ErrEvicted, io.ErrUnexpectedEOF or that of r.
func (b *Buffer) Read(r io.Reader, n int64, last bool) error {
	have := int64(len(b.bytes))
	if n > b.limit-have {
		return ErrTooLarge
	}
	end := have + n
	known := int64(-1)
	if last {
		known = end
	}
	for int64(len(b.bytes)) < end {
		if err := b.extend(known); err != nil {
			return err
		}
		err := b.readOnce(r, end)
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ReadAll reads from r to its end. The errors are those of Read.
func (b *Buffer) ReadAll(r io.Reader) error {
	for {
		if int64(len(b.bytes)) == b.limit { // It may end just here.
			var probe [1]byte
			switch n, err := r.Read(probe[:]); {
			case n > 0:
				return ErrTooLarge
			case errors.Is(err, io.EOF):
				return nil
			case err != nil:
				return err //nolint:wrapcheck // The reader's own error.
			}
			continue
		}
		if err := b.extend(-1); err != nil {
			return err
		}
		err := b.readOnce(r, int64(cap(b.bytes)))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (b *Buffer) readOnce(r io.Reader, end int64) error {
	n, err := r.Read(b.bytes[len(b.bytes):min(int64(cap(b.bytes)), end)])
	b.bytes = b.bytes[:len(b.bytes)+n]
	b.holder.Progress(time.Now())
	if int64(len(b.bytes)) == end && err != nil && errors.Is(err, io.EOF) && n > 0 {
		return nil // The end is seen again if it is asked for.
	}
	return err //nolint:wrapcheck // Callers compare it with io.EOF.
}

// extend makes room behind the bytes if there is none. known is the length of the body, or
// negative. While one buffer is copied into the next, both are counted.
func (b *Buffer) extend(known int64) error {
	have := int64(len(b.bytes))
	if have < int64(cap(b.bytes)) {
		return nil
	}
	now := time.Now()
	size := min(max(2*have, firstSize), b.limit)
	switch {
	case known >= 0 && have == 0:
		size = min(known, largeSize)
	case known >= 0:
		size = known
	case have >= largeSize && b.holder.growIfFree(now, b.limit):
		b.move(b.limit) // Doubling would need more than that in the end.
		return nil
	}
	if err := b.holder.Grow(now, size); err != nil {
		return err
	}
	b.move(size)
	return nil
}

// move continues in a buffer of the size, which is counted already.
func (b *Buffer) move(size int64) {
	next := make([]byte, len(b.bytes), size)
	copy(next, b.bytes)
	b.holder.Shrink(int64(cap(b.bytes)))
	b.bytes = next
}
