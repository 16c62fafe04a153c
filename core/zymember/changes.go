package zymember

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/ugorji/go/codec"
)

// maxListBytes limits the size of a decompressed list. A list of 4,600 members,
// including those that died within the last hour, takes about 1.4 MB.
const maxListBytes = 8 << 20

// PackList encodes and compresses a list of changes. Members share most field
// values, so compression reduces a list to about a quarter of its size.
func PackList(list []Change) ([]byte, error) {
	var raw []byte
	if err := codec.NewEncoderBytes(&raw, newHandle()).Encode(list); err != nil {
		return nil, &PacketError{Problem: fmt.Sprintf("encoding a list of %d members", len(list)), Err: err}
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, &PacketError{Problem: "creating the list compressor", Err: err}
	}
	if _, err := w.Write(raw); err != nil {
		return nil, &PacketError{Problem: fmt.Sprintf("compressing a list of %d bytes", len(raw)), Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &PacketError{Problem: fmt.Sprintf("finishing compression of a list of %d bytes", len(raw)), Err: err}
	}
	return packed.Bytes(), nil
}

// UnpackList decompresses and decodes the output of PackList. The error is a
// *PacketError.
func UnpackList(packed []byte) ([]Change, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxListBytes+1))
	if err != nil {
		return nil, &PacketError{Problem: fmt.Sprintf("decompressing a list of %d bytes", len(packed)), Err: err}
	}
	if len(raw) > maxListBytes {
		return nil, &PacketError{Problem: fmt.Sprintf("decompressed list is larger than %d bytes", maxListBytes)}
	}
	var list []Change
	if err := codec.NewDecoderBytes(raw, newHandle()).Decode(&list); err != nil {
		return nil, &PacketError{Problem: fmt.Sprintf("decoding a list of %d bytes", len(raw)), Err: err}
	}
	return list, nil
}
