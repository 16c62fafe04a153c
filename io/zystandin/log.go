// Package zystandin holds small stand-ins for the systems outside: the
// platform's log and a worker. They are for demos, experiments and tests.
package zystandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/io/zylog"
)

// LogFaults says how the log misbehaves. The zero value is a healthy log.
type LogFaults struct {
	// Down refuses everything.
	Down bool `json:"down"`
	// Delay is added to each answer.
	Delay time.Duration `json:"delay"`
	// LoseAppendResponses drops the answers of appends after they took effect.
	LoseAppendResponses bool `json:"loseAnswers"`
	// RetainedRecords is how many records of a stream are kept; 0 means all.
	RetainedRecords int `json:"keep"`
	// HiddenRecords leaves the newest records out of reads.
	HiddenRecords int `json:"past"`
}

// Log is a stand-in for the platform's log. The zero value is an empty log.
type Log struct {
	mu      sync.Mutex
	streams map[zinniayoke.Stream]*stream
	faults  LogFaults
	appends int
}

type stream struct {
	firstOffset zinniayoke.Offset
	records     []zinniayoke.Record
}

const (
	maxAppendSize  = 64 << 20
	maxReadRecords = 1024
)

// SetFaults changes how the log misbehaves.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// AppendCount returns how many records were appended.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Handler returns the log's HTTP interface.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", l.serveRead)
	mux.HandleFunc("PUT /faults", l.serveFaults)
	return mux
}

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// applyFaults applies the faults that concern every request and reports whether the
// request is over.
func (l *Log) applyFaults(w http.ResponseWriter, f LogFaults) bool {
	time.Sleep(f.Delay)
	if f.Down {
		closeConnection(w)
	}
	return f.Down
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	f := l.currentFaults()
	if l.applyFaults(w, f) {
		return
	}
	var req zylog.AppendRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxAppendSize)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset := l.Append(zinniayoke.Stream(r.PathValue("stream")), req.ID, req.Body)
	if f.LoseAppendResponses {
		closeConnection(w)
		return
	}
	writeJSON(w, zylog.AppendResponse{Offset: offset})
}

// Append appends a record.
func (l *Log) Append(name zinniayoke.Stream, id string, body []byte) zinniayoke.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.firstOffset + zinniayoke.Offset(len(s.records))
	s.records = append(s.records, zinniayoke.Record{Offset: offset, ID: id, Body: body})
	l.appends++
	if keep := l.faults.RetainedRecords; keep > 0 && len(s.records) > keep {
		s.firstOffset += zinniayoke.Offset(len(s.records) - keep)
		s.records = append([]zinniayoke.Record(nil), s.records[len(s.records)-keep:]...)
	}
	return offset
}

func (l *Log) stream(name zinniayoke.Stream) *stream {
	if l.streams == nil {
		l.streams = make(map[zinniayoke.Stream]*stream)
	}
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	f := l.currentFaults()
	if l.applyFaults(w, f) {
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: an offset is needed", http.StatusBadRequest)
		return
	}
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 0 {
		http.Error(w, "limit: a number of records is needed", http.StatusBadRequest)
		return
	}
	writeJSON(w, l.read(zinniayoke.Stream(r.PathValue("stream")), zinniayoke.Offset(from), min(limit, maxReadRecords), f.HiddenRecords))
}

func (l *Log) read(name zinniayoke.Stream, from zinniayoke.Offset, limit, past int) zylog.ReadResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	visible := s.records[:max(len(s.records)-past, 0)]
	answer := zylog.ReadResponse{First: s.firstOffset}
	for _, record := range visible {
		if record.Offset >= from && len(answer.Records) < limit {
			answer.Records = append(answer.Records, record)
		}
	}
	return answer
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
