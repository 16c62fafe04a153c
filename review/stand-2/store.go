package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: keyed topics with one partition.
// Each machine reaches it at an address of its own, so that it can turn machines away.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	era     int
	changed chan struct{}
	// reject returns true if the store turns the machine away at this moment; nil means never.
	reject func(machine string) bool
	// away is true while the store does not accept calls of any machine.
	away bool
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int
}

const (
	appendTime   = 4 * time.Millisecond
	pageItems    = 500
	maxReadBytes = 1 << 20
)

func newStore() *store {
	return &store{topics: make(map[string]*topic), era: 1, changed: make(chan struct{})}
}

// listen opens the address for one machine.
func (s *store) listen(machine, address string) string {
	l, err := net.Listen("tcp", address)
	must(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// update changes the store under its lock and ends the waits of all reads.
func (s *store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.wake()
}

func (s *store) topicOf(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: make(map[string]keyed)}
		s.topics[name] = t
	}
	return t
}

func (s *store) appendLocked(name string, record []byte) {
	t := s.topicOf(name)
	offset := len(t.records)
	t.records = append(t.records, slices.Clone(record))
	if strings.HasPrefix(name, "keyed.") && len(record) > int(record[0]) {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if n == len(record) {
			delete(t.newest, key)
		} else {
			t.newest[key] = keyed{slices.Clone(record[n:]), offset}
		}
	}
}

// put is a write of the operator. It returns the time of the acknowledgement.
func (s *store) put(name, key string, value []byte) time.Time {
	time.Sleep(appendTime)
	s.update(func() {
		s.appendLocked(name, append(append([]byte{byte(len(key))}, key...), value...))
	})
	return time.Now()
}

// snapshot returns a copy of the content.
func (s *store) snapshot() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]*topic)
	for name, t := range s.topics {
		c[name] = &topic{slices.Clone(t.records), maps.Clone(t.newest)}
	}
	return c
}

// restore makes the store come back from the copy: its era rises by one.
func (s *store) restore(c map[string]*topic) {
	s.update(func() {
		s.topics = c
		s.era++
		s.away = false
	})
}

// refuses reports whether a call of the machine is turned away, or the store is away.
func (s *store) refuses(machine string) (rejected, away bool) {
	if s.away {
		return false, true
	}
	return s.reject != nil && s.reject(machine), false
}

func (s *store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	rejected, away := s.refuses(machine)
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	switch {
	case away:
		panic(http.ErrAbortHandler)
	case rejected:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.handleAppend(w, q.Get("topic"), q.Get("at"), body)
	case "/-/log-read":
		s.handleRead(machine, w, r)
	case "/-/log-newest":
		s.handleNewest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, name, at string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	first := len(s.topicOf(name).records)
	if at != "" && at != strconv.Itoa(first) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": first})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.appendLocked(name, body[4:4+n])
		body = body[4+n:]
	}
	s.wake()
	writeJSON(w, http.StatusOK, map[string]int{"offset": first, "end": len(s.topicOf(name).records)})
}

func (s *store) handleRead(machine string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for done := false; ; {
		s.mu.Lock()
		rejected, away := s.refuses(machine)
		t := s.topicOf(q.Get("topic"))
		end := len(t.records)
		var records [][]byte
		if from >= 0 && from < end {
			records = slices.Clone(t.records[from:])
		}
		changed, era := s.changed, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case rejected:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < 0 || from > end:
			writeJSON(w, http.StatusGone, map[string]int{"first": 0})
			return
		case len(records) > 0 || done:
			raw := binary.BigEndian.AppendUint64(nil, uint64(end))
			raw = binary.BigEndian.AppendUint64(raw, 0)
			for _, record := range records {
				if len(raw) > maxReadBytes {
					break
				}
				raw = append(binary.BigEndian.AppendUint32(raw, uint32(len(record))), record...)
			}
			_, _ = w.Write(raw)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topicOf(name)
	items := []item{}
	for key, e := range t.newest {
		if key > after {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(e.value), e.offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
