package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: the calls log-append, log-read
// and log-newest of partition 0.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

// startStore starts a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: make(map[string][][]byte), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put appends a record to a keyed topic.
func (s *store) put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.append(topic, append(record, value...))
}

func (s *store) append(topic string, records ...[]byte) (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.topics[topic])
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
	return first, len(s.topics[topic])
}

// ServeHTTP handles a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", "1")
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/-/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		var records [][]byte
		for len(body) >= 4 {
			n := int(binary.BigEndian.Uint32(body))
			if n > len(body)-4 {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			records, body = append(records, body[4:4+n]), body[4+n:]
		}
		first, end := s.append(topic, records...)
		respondJSON(w, http.StatusOK, map[string]any{"offset": first, "end": end})
	case "/-/log-read":
		s.read(w, r, topic)
	case "/-/log-newest":
		s.newest(w, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			respondJSON(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from == len(records) {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
			}
		}
		raw := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		raw = binary.BigEndian.AppendUint64(raw, 0)
		for _, record := range records[from:] {
			raw = append(binary.BigEndian.AppendUint32(raw, uint32(len(record))), record...)
		}
		_, _ = w.Write(raw)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := make(map[string]map[string]any)
	for offset, record := range s.topics[topic] {
		if !strings.HasPrefix(topic, "keyed.") || len(record) < 1+int(record[0]) {
			continue
		}
		n := 1 + int(record[0])
		items[string(record[1:n])] = map[string]any{
			"key": string(record[1:n]), "value": base64.StdEncoding.EncodeToString(record[n:]), "offset": offset,
		}
	}
	list := make([]map[string]any, 0, len(items))
	for _, item := range items {
		list = append(list, item)
	}
	sort.Slice(list, func(i, j int) bool { return list[i]["key"].(string) < list[j]["key"].(string) })
	respondJSON(w, http.StatusOK, map[string]any{"items": list, "hasMore": false, "end": len(s.topics[topic])})
}

func respondJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
