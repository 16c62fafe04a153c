// Package zygossip carries membership packets over UDP.
package zygossip

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"zinniayoke/core/zymember"
	"zinniayoke/core/zytimer"
)

// Config configures a Socket.
type Config struct {
	Conn  net.PacketConn
	Key   []byte
	Table *zymember.Table
	// TableLock guards the table.
	TableLock *sync.Mutex
	Timer     *zytimer.Service
	// Period is the probe period of the table.
	Period time.Duration
	// OnPacket is called with the bundle version and address of a sender.
	OnPacket func(p *zymember.Packet)
	// OnChange is called after the list has changed.
	OnChange func()
}

const ticksInPeriod = 10

// Socket runs a table over UDP. A Socket must be made with New.
type Socket struct {
	cfg      Config
	tick     *zytimer.Subscription
	done     chan struct{}
	revision uint64

	sent    atomic.Int64
	got     atomic.Int64
	refused atomic.Int64
}

// New returns a running socket. Close ends it.
func New(cfg Config) *Socket {
	s := &Socket{cfg: cfg, done: make(chan struct{})}
	s.tick = cfg.Timer.Every(cfg.Period/ticksInPeriod, s.onTick)
	go s.receive()
	return s
}

func (s *Socket) onTick(now time.Time) {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.Tick(now)
	s.cfg.TableLock.Unlock()
	s.send(out)
	s.noteChange()
}

func (s *Socket) receive() {
	defer close(s.done)
	raw := make([]byte, 1<<16)
	for {
		n, _, err := s.cfg.Conn.ReadFrom(raw)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.got.Add(int64(n))
		p, err := zymember.Open(s.cfg.Key, raw[:n])
		if err != nil {
			s.refused.Add(1)
			continue
		}
		s.take(p)
	}
}

func (s *Socket) take(p *zymember.Packet) {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.Receive(time.Now(), p)
	s.cfg.TableLock.Unlock()
	s.send(out)
	s.cfg.OnPacket(p)
}

// noteChange tells the node where the list has changed since the last tick; many
// packets may bring changes in between.
func (s *Socket) noteChange() {
	s.cfg.TableLock.Lock()
	revision := s.cfg.Table.Revision()
	changed := revision != s.revision
	s.revision = revision
	s.cfg.TableLock.Unlock()
	if changed {
		s.cfg.OnChange()
	}
}

func (s *Socket) send(out []zymember.OutgoingPacket) {
	for _, a := range out {
		raw, err := zymember.Seal(s.cfg.Key, &a.Packet)
		if err != nil {
			continue
		}
		to, err := net.ResolveUDPAddr("udp", a.To)
		if err != nil {
			continue
		}
		n, err := s.cfg.Conn.WriteTo(raw, to)
		if err == nil {
			s.sent.Add(int64(n))
		}
	}
}

// Gossip sends the table's news to a few members at once.
func (s *Socket) Gossip() {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.Gossip()
	s.cfg.TableLock.Unlock()
	s.send(out)
}

// ByteCounts returns how many bytes were sent and received.
func (s *Socket) ByteCounts() (sent, got int64) {
	return s.sent.Load(), s.got.Load()
}

// InvalidPackets returns how many packets were not valid.
func (s *Socket) InvalidPackets() int64 {
	return s.refused.Load()
}

// Close ends the socket and waits for its reader.
func (s *Socket) Close() {
	s.tick.Cancel()
	_ = s.cfg.Conn.Close()
	<-s.done
}
