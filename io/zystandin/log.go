// Package zystandin holds in-process stand-ins for external systems: the
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

// LogFaults selects the faults that a Log injects. The zero value injects none.
type LogFaults struct {
	// Down closes the connection of every request without a response.
	Down bool `json:"down"`
	// Delay is added to the time of each request.
	Delay time.Duration `json:"delay"`
	// LoseAppendResponses drops the response to an append after the record was
	// stored.
	LoseAppendResponses bool `json:"loseAnswers"`
	// RetainedRecords is how many records of a stream are kept; 0 keeps all.
	RetainedRecords int `json:"keep"`
	// HiddenRecords is how many of the newest records are left out of reads.
	HiddenRecords int `json:"past"`
}

// Log is an in-memory stand-in for the platform's log. The zero value is an empty
// log.
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

// SetFaults replaces the faults that the log injects.
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

// applyFaults applies the faults that affect every request. It reports true if it
// closed the connection.
func (l *Log) applyFaults(w http.ResponseWriter, f LogFaults) bool {
	time.Sleep(f.Delay)
	if f.Down {
		closeConnection(w)
	}
	return f.Down
}

// closeConnection closes the connection of a request without a response.
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

// Append appends a record to a stream and drops the oldest ones beyond
// RetainedRecords.
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

func (l *Log) read(name zinniayoke.Stream, from zinniayoke.Offset, limit, hidden int) zylog.ReadResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	visible := s.records[:max(len(s.records)-hidden, 0)]
	response := zylog.ReadResponse{First: s.firstOffset}
	for _, record := range visible {
		if record.Offset >= from && len(response.Records) < limit {
			response.Records = append(response.Records, record)
		}
	}
	return response
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
