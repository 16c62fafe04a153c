package main

import (
	"fmt"
	"net"
	"net/http"

	"zinniayoke/platform/zyfake"
)

// store is the platform's store: the project's own stand-in.
type store struct {
	*zyfake.Store
	address string
	server  *http.Server
}

// newStore starts a store.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	s := &store{Store: &zyfake.Store{}, address: l.Addr().String()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headTime}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
}
