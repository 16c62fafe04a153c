package zymember

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/ugorji/go/codec"
)

// mostListBytes bounds a list that is unpacked: 4,600 members with the dead of an
// hour take some 1.4 MB.
const mostListBytes = 8 << 20

// PackList encodes a list of changes and compresses it. Members have most of their
// fields in common, so that a list shrinks to about a quarter.
func PackList(list []Change) ([]byte, error) {
	var raw []byte
	if err := codec.NewEncoderBytes(&raw, handle()).Encode(list); err != nil {
		return nil, &PacketError{Problem: "encoding a list", Err: err}
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, &PacketError{Problem: "compressing a list", Err: err}
	}
	if _, err := w.Write(raw); err != nil {
		return nil, &PacketError{Problem: "compressing a list", Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &PacketError{Problem: "compressing a list", Err: err}
	}
	return packed.Bytes(), nil
}

// UnpackList reads what PackList has written. The error is a *PacketError.
func UnpackList(packed []byte) ([]Change, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostListBytes+1))
	if err != nil {
		return nil, &PacketError{Problem: "expanding a list", Err: err}
	}
	if len(raw) > mostListBytes {
		return nil, &PacketError{Problem: fmt.Sprintf("a list of more than %d bytes", mostListBytes)}
	}
	var list []Change
	if err := codec.NewDecoderBytes(raw, handle()).Decode(&list); err != nil {
		return nil, &PacketError{Problem: "decoding a list", Err: err}
	}
	return list, nil
}
