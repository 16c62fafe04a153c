package zynotice

import (
	"maps"
	"sync"
	"time"

	"zinniayoke"
)

// memoryTTL is how long a notice is kept. A worker that leaves ends within seconds.
const memoryTTL = 5 * time.Minute

// Memory keeps what the workers of other hosts have said about themselves, for their nodes,
// which forget it when they start again. It is safe for concurrent use. A Memory must be
// created with NewMemory; nil keeps nothing.
type Memory struct {
	mu    sync.Mutex
	hosts map[string]memoryEntry
}

type memoryEntry struct {
	heard *zinniayoke.HeardNotice
	at    time.Time
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{hosts: make(map[string]memoryEntry)}
}

// Record takes in the reply of the host to an attempt that was sent at sentAt. A response
// without a notice, to an attempt that was sent after the last one, ends it.
func (m *Memory) Record(now, sentAt time.Time, host string, r *zinniayoke.Reply) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Heard == nil {
		if r.Outcome == zinniayoke.OutcomeDone && !sentAt.Before(m.hosts[host].at) {
			delete(m.hosts, host)
		}
		return
	}
	maps.DeleteFunc(m.hosts, func(_ string, e memoryEntry) bool { return now.Sub(e.at) > memoryTTL })
	m.hosts[host] = memoryEntry{heard: r.Heard, at: now}
}

// Of returns what the worker of the host has said, or nil if that is nothing. The caller
// must not modify the result.
func (m *Memory) Of(host string) *zinniayoke.HeardNotice {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hosts[host].heard
}
