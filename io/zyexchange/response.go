package zyexchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"zinniayoke/core/zybudget"
)

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Close is true if the server closes the connection, or it ends the body.
	Close bool
}

// FormatError reports bytes that are no response in the protocol.
type FormatError struct {
	// Part names the part of the response, such as "status line".
	Part    string
	Problem string
}

// Error returns the part and the problem.
func (e *FormatError) Error() string {
	return "response: " + e.Part + ": " + e.Problem
}

// The errors of ReadResponse beside *FormatError and those of the connection. Their texts can
// become the detail of a reply to the caller.
var (
	ErrHeadTooLarge = errors.New("the head of the answer is larger than is taken")
	ErrBodyTooLarge = errors.New("the answer is larger than is taken")
	// ErrIncomplete means that the connection was reset before a response ended that has no
	// length. The reset may have been noticed by the request that was still being written.
	ErrIncomplete = errors.New("the connection has failed before the end of the answer")
)

const (
	minStatus   = 100
	maxStatus   = 599
	statusWidth = 3
	// maxInterim is how many responses with a status below 200 are skipped.
	maxInterim    = 8
	maxChunkWidth = 15 // Hexadecimal digits of a chunk's size, which then fits an int64.
)

// ReadResponse reads the final response to the request that was sent last, and skips interim ones.
// Whatever is not exactly a response is an error, and then the connection must be closed. sent is
// the request that may still be written.
func (c *Conn) ReadResponse(method string, sent *Sending) (*Response, error) {
	c.holder = c.cfg.Budget.Hold(func() { _ = c.Close() })
	defer c.holder.Release()
	resp, err := c.readResponse(method, sent)
	if err != nil && c.holder.Evicted() {
		err = errors.Join(ErrBodyTooLarge, zybudget.ErrEvicted)
	}
	if err != nil {
		return nil, err
	}
	return resp, nil
}

func (c *Conn) readResponse(method string, sent *Sending) (*Response, error) {
	c.headLeft = c.cfg.MaxHead
	for range maxInterim + 1 {
		resp, minor, err := c.readHead()
		if err != nil {
			return nil, err
		}
		switch {
		case resp.Status == http.StatusSwitchingProtocols:
			return nil, &FormatError{"status line", "the protocol was not to be switched"}
		case resp.Status < http.StatusOK:
			continue
		}
		resp.Close = minor == 0 || httpguts.HeaderValuesContainsToken(resp.Header["Connection"], "close")
		if err := c.readBody(resp, method, minor, sent); err != nil {
			return nil, err
		}
		return resp, nil
	}
	return nil, &FormatError{"status line", "too many interim responses"}
}

// readHead reads a status line and fields, and returns the minor version too.
func (c *Conn) readHead() (*Response, int, error) {
	line, err := c.readLine()
	if err != nil {
		return nil, 0, err
	}
	resp, minor, err := parseStatusLine(line)
	if err != nil {
		return nil, 0, err
	}
	resp.Header, err = c.readFields()
	return resp, minor, err
}

// readLine returns the next line without its end, which must be CR and LF. The result is valid
// until the next read.
func (c *Conn) readLine() ([]byte, error) {
	line, err := c.r.ReadSlice('\n')
	if errors.Is(err, errBufferFull) {
		whole := bytes.Clone(line)
		for errors.Is(err, errBufferFull) && len(whole) <= c.headLeft {
			line, err = c.r.ReadSlice('\n')
			whole = append(whole, line...)
		}
		line = whole
	}
	if len(line) > c.headLeft {
		return nil, ErrHeadTooLarge
	}
	if err != nil {
		return nil, noEOF(err)
	}
	c.headLeft -= len(line)
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, &FormatError{"line", "it does not end in CR and LF"}
	}
	return line, nil
}

// parseStatusLine parses a line such as "HTTP/1.1 200 OK".
func parseStatusLine(line []byte) (*Response, int, error) {
	version, rest, ok := strings.Cut(string(line), " ")
	code, reason, _ := strings.Cut(rest, " ")
	var minor int
	switch {
	case version == "HTTP/1.1":
		minor = 1
	case version != "HTTP/1.0":
		return nil, 0, &FormatError{"status line", "the version is not HTTP/1.1"}
	}
	status, err := strconv.ParseUint(code, 10, 16)
	if !ok || err != nil || len(code) != statusWidth || status < minStatus || status > maxStatus {
		return nil, 0, &FormatError{"status line", "the status is not 100 to 599"}
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return nil, 0, &FormatError{"status line", "the reason has a control character"}
	}
	return &Response{Status: int(status)}, minor, nil
}

// readFields reads fields up to the empty line behind them.
func (c *Conn) readFields() (http.Header, error) {
	const usualFields = 8
	h := make(http.Header, usualFields)
	for {
		line, err := c.readLine()
		if err != nil || len(line) == 0 {
			return h, err
		}
		name, value, ok := strings.Cut(string(line), ":")
		value = strings.Trim(value, " \t")
		switch {
		case !ok:
			return nil, &FormatError{"field", "a line has no colon"}
		case !httpguts.ValidHeaderFieldName(name):
			return nil, &FormatError{"field", "a name is not a token"}
		case !httpguts.ValidHeaderFieldValue(value):
			return nil, &FormatError{"field", "a value has a control character"}
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		h[name] = append(h[name], value)
	}
}

// readBody reads the body that belongs to the head.
func (c *Conn) readBody(resp *Response, method string, minor int, sent *Sending) error {
	length, err := bodyLength(resp.Header)
	codings, chunked := resp.Header["Transfer-Encoding"]
	switch {
	case err != nil:
		return err
	case chunked && (minor == 0 || len(codings) != 1 || !strings.EqualFold(codings[0], "chunked")):
		return &FormatError{"Transfer-Encoding", "it is not chunked"}
	case chunked && length >= 0:
		return &FormatError{"Transfer-Encoding", "there is a Content-Length too"}
	case method == http.MethodHead || resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified:
		return nil
	}
	body := zybudget.NewBuffer(c.holder, c.cfg.MaxBody)
	switch {
	case chunked:
		err = c.readChunks(body)
	case length >= 0:
		err = body.Read(c.r, length, true)
	default:
		// It ends with the connection, and is complete only if that was not reset. The request that
		// is still being written may be the only one to learn of a reset.
		resp.Close = true
		if err = body.ReadAll(c.r); err == nil && !sent.Complete() {
			err = ErrIncomplete
		}
	}
	resp.Body = body.Bytes()
	return bodyError(err)
}

// bodyError returns the error of ReadResponse for one of a body.
func bodyError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, zybudget.ErrTooLarge) || errors.Is(err, zybudget.ErrExhausted) || errors.Is(err, zybudget.ErrEvicted):
		return errors.Join(ErrBodyTooLarge, err)
	}
	return fmt.Errorf("read body: %w", err)
}

// bodyLength returns the length that the head says, -1 if it says none.
func bodyLength(h http.Header) (int64, error) {
	values, ok := h["Content-Length"]
	if !ok {
		return -1, nil
	}
	for _, v := range values {
		if v != values[0] || strings.Trim(v, "0123456789") != "" {
			return 0, &FormatError{"Content-Length", "it is not one number"}
		}
	}
	n, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil {
		return 0, &FormatError{"Content-Length", "it is not one number"}
	}
	return n, nil
}

// readChunks reads a chunked body and its trailers, which it drops.
func (c *Conn) readChunks(body *zybudget.Buffer) error {
	for {
		c.headLeft = c.cfg.MaxHead // Each line of a chunk is limited, and all together by the body.
		line, err := c.readLine()
		if err != nil {
			return err
		}
		size, err := chunkSize(line)
		if err != nil {
			return err
		}
		if size == 0 {
			_, err = c.readFields()
			return err
		}
		if err := body.Read(c.r, size, false); err != nil {
			return err
		}
		if line, err = c.readLine(); err != nil {
			return err
		}
		if len(line) > 0 {
			return &FormatError{"chunk", "it is longer than it says"}
		}
	}
}

// chunkSize parses the line before a chunk. Extensions are ignored.
func chunkSize(line []byte) (int64, error) {
	text, extension, _ := strings.Cut(string(line), ";")
	text = strings.TrimRight(text, " \t")
	if text == "" || len(text) > maxChunkWidth || strings.Trim(text, "0123456789abcdefABCDEF") != "" || !httpguts.ValidHeaderFieldValue(extension) {
		return 0, &FormatError{"chunk", "its size is not a number"}
	}
	size, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0, &FormatError{"chunk", "its size is not a number"}
	}
	return size, nil
}

// noEOF turns the end of the connection within a response into another error than its regular end.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
