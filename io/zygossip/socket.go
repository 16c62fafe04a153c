// Package zygossip runs the membership protocol over UDP.
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
	Conn net.PacketConn
	// Key is the secret that all nodes share; it authenticates packets.
	Key   []byte
	Table *zymember.Table
	// TableLock protects Table.
	TableLock *sync.Mutex
	Timer     *zytimer.Service
	// Period is the probe period of the table.
	Period time.Duration
	// OnPacket is called with each valid packet, after the table has processed it.
	OnPacket func(p *zymember.Packet)
	// OnChange is called after the member list has changed.
	OnChange func()
}

const ticksPerPeriod = 10

// Socket sends and receives the packets of a membership table. A Socket must be created
// with New.
type Socket struct {
	cfg      Config
	ticker   *zytimer.Subscription
	done     chan struct{}
	revision uint64

	sent     atomic.Int64
	received atomic.Int64
	invalid  atomic.Int64
}

// New starts a socket. Call Close to stop it.
func New(cfg Config) *Socket {
	s := &Socket{cfg: cfg, done: make(chan struct{})}
	s.ticker = cfg.Timer.Every(cfg.Period/ticksPerPeriod, s.onTick)
	go s.receive()
	return s
}

func (s *Socket) onTick(now time.Time) {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.Tick(now)
	s.cfg.TableLock.Unlock()
	s.send(out)
	s.reportChange()
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
		s.received.Add(int64(n))
		p, err := zymember.Open(s.cfg.Key, raw[:n])
		if err != nil {
			s.invalid.Add(1)
			continue
		}
		s.handlePacket(p)
	}
}

func (s *Socket) handlePacket(p *zymember.Packet) {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.Receive(time.Now(), p)
	s.cfg.TableLock.Unlock()
	s.send(out)
	s.cfg.OnPacket(p)
}

// reportChange calls OnChange if the member list has changed since the last tick. It is
// called once for the changes of any number of packets.
func (s *Socket) reportChange() {
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
	for _, packet := range out {
		raw, err := zymember.Seal(s.cfg.Key, &packet.Packet)
		if err != nil {
			continue
		}
		to, err := net.ResolveUDPAddr("udp", packet.To)
		if err != nil {
			continue
		}
		n, err := s.cfg.Conn.WriteTo(raw, to)
		if err == nil {
			s.sent.Add(int64(n))
		}
	}
}

// Gossip sends pending updates of the table to a few members immediately.
func (s *Socket) Gossip() {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.Gossip()
	s.cfg.TableLock.Unlock()
	s.send(out)
}

// Beat sends a beat to the addresses.
func (s *Socket) Beat(cfg zymember.BeatConfig, addresses []string) {
	s.cfg.TableLock.Lock()
	out := s.cfg.Table.NewBeat(cfg, addresses)
	s.cfg.TableLock.Unlock()
	s.send(out)
}

// ByteCounts returns how many bytes were sent and received so far.
func (s *Socket) ByteCounts() (sent, received int64) {
	return s.sent.Load(), s.received.Load()
}

// InvalidPackets returns the number of received packets that were rejected as invalid.
func (s *Socket) InvalidPackets() int64 {
	return s.invalid.Load()
}

// Close closes the connection and waits until the receiving goroutine has returned.
func (s *Socket) Close() {
	s.ticker.Cancel()
	_ = s.cfg.Conn.Close()
	<-s.done
}
