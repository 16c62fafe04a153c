package zyweb

import (
	"errors"
	"net/http"
	"os"
	"time"

	"zinniayoke"
	"zinniayoke/core/zybudget"
)

const (
	// defaultBodyTime is how long a body may take if its request names no deadline.
	defaultBodyTime = 2 * time.Minute
	// writeTime is how long a client may take to read writeSize bytes of a response.
	writeTime = 30 * time.Second
	writeSize = 64 << 10
	// countedSize is from which size a response is counted. Smaller ones fit the buffers of the
	// connection.
	countedSize = 4 << 10
)

// BodyConfig says how a body is read.
type BodyConfig struct {
	// Limit is that of the body in bytes.
	Limit int64
	// Budget counts the body; nil sets no limit.
	Budget *zybudget.Budget
	// Timeout is how long the client waits for its response, or 0 if it does not say.
	Timeout time.Duration
}

// ReadBody reads the body of a request. The holder has its bytes until Release, also if there is an
// error, which is a *zinniayoke.CallError.
func ReadBody(w http.ResponseWriter, r *http.Request, cfg BodyConfig) ([]byte, *zybudget.Holder, error) {
	// An error means that the connection has ended, which the reads show, or that there is none.
	control := http.NewResponseController(w)
	holder := cfg.Budget.Hold(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	if r.ContentLength == 0 {
		return nil, holder, nil
	}
	if r.ContentLength > cfg.Limit {
		w.Header().Set("Connection", "close") // The rest of the body is not read.
		return nil, holder, zinniayoke.NewRefusedError(zinniayoke.ReasonTooLarge, "the body is too large")
	}
	timeout := cfg.Timeout
	if timeout <= 0 {
		timeout = defaultBodyTime
	}
	_ = control.SetReadDeadline(time.Now().Add(timeout))
	buffer := zybudget.NewBuffer(holder, cfg.Limit)
	var err error
	if r.ContentLength > 0 {
		err = buffer.Read(r.Body, r.ContentLength, true)
	} else {
		err = buffer.ReadAll(r.Body)
	}
	if err == nil {
		err = holder.Pin(0)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, holder, bodyError(err, holder)
	}
	_ = control.SetReadDeadline(time.Time{}) // The server reads on to notice that the client leaves.
	return buffer.Bytes(), holder, nil
}

// bodyError returns the error for the client.
func bodyError(err error, holder *zybudget.Holder) error {
	switch {
	case errors.Is(err, zybudget.ErrTooLarge):
		return zinniayoke.NewRefusedError(zinniayoke.ReasonTooLarge, "the body is too large")
	case holder.Evicted() || errors.Is(err, zybudget.ErrExhausted):
		return zinniayoke.NewRefusedError(zinniayoke.ReasonShed, "the node has no memory left for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return zinniayoke.NewRefusedError(zinniayoke.ReasonDeadline, "the body has not arrived in time")
	}
	return zinniayoke.NewRefusedError(zinniayoke.ReasonMalformed, "the body could not be read")
}

// WriteBody writes the body of a response. A client that does not read is cut off. An error means
// that the client is gone.
func WriteBody(w http.ResponseWriter, body []byte, budget *zybudget.Budget) {
	if len(body) <= countedSize {
		_, _ = w.Write(body)
		return
	}
	control := http.NewResponseController(w)
	holder := budget.Hold(func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
	holder.Add(time.Now(), int64(len(body)))
	defer holder.Release()
	for len(body) > 0 {
		n := min(len(body), writeSize)
		_ = control.SetWriteDeadline(time.Now().Add(writeTime))
		if holder.Evicted() {
			_ = control.SetWriteDeadline(time.Unix(1, 0))
		}
		if _, err := w.Write(body[:n]); err != nil {
			return
		}
		holder.Progress(time.Now())
		body = body[n:]
	}
	if holder.Evicted() {
		panic(http.ErrAbortHandler) // The connection must not be used again: its deadline is past.
	}
	_ = control.SetWriteDeadline(time.Time{})
}
