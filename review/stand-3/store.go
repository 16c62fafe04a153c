package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"

	"zinniayoke/platform/zyfake"
)

// store is the platform's store: the project's own stand-in, with an address for each machine, so
// that it can leave single machines without an answer.
type store struct {
	*zyfake.Store
	fronts []*storeFront
}

// storeFront is the store as one machine sees it.
type storeFront struct {
	store   *store
	machine string
	address string
	server  *http.Server

	mu     sync.Mutex
	silent bool
	// polls counts the reads of the configuration that wait.
	polls int
}

func newStore() *store {
	return &store{Store: &zyfake.Store{}}
}

// open returns the store for a machine.
func (s *store) open(machine string) (*storeFront, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	f := &storeFront{store: s, machine: machine, address: l.Addr().String()}
	f.server = &http.Server{Handler: f, ReadHeaderTimeout: headTime}
	go func() { _ = f.server.Serve(l) }()
	s.fronts = append(s.fronts, f)
	return f, nil
}

func (s *store) close() {
	for _, f := range s.fronts {
		_ = f.server.Close()
	}
}

// setSilent sets whether the machine gets no answers.
func (f *storeFront) setSilent(silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent = silent
}

func (f *storeFront) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// isPolling reports whether a read of the configuration waits.
func (f *storeFront) isPolling() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls > 0
}

// ServeHTTP handles a call. The answer is lost if the machine gets none at that time; the
// connection then returns nothing further.
func (f *storeFront) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.isSilent() {
		<-r.Context().Done()
		return
	}
	poll := r.URL.Path == "/-/log-read" && r.URL.Query().Get("topic") == "keyed.op"
	if poll {
		f.mu.Lock()
		f.polls++
		f.mu.Unlock()
	}
	answer := httptest.NewRecorder()
	f.store.ServeHTTP(answer, r)
	if poll {
		f.mu.Lock()
		f.polls--
		f.mu.Unlock()
	}
	if f.isSilent() {
		<-r.Context().Done()
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}
