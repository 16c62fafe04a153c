package zynode_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/fx"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/core/zysettings"
	"zinniayoke/io/zylog"
	"zinniayoke/io/zynode"
	"zinniayoke/io/zyoperator"
	"zinniayoke/io/zystandin"
)

// privateKey returns the signing key of a test approver.
func privateKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func genesis() zyagreement.ApprovalPolicy {
	approvers := make(map[string]ed25519.PublicKey)
	for _, name := range []string{"alice", "bob"} {
		approvers[name], _ = privateKey(name).Public().(ed25519.PublicKey)
	}
	return zyagreement.ApprovalPolicy{Approvals: 1, Approvers: approvers}
}

func bundleText(version int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[bundle]\nversion = %d\napprovals = 1\ndefaultHome = d\nanonymous = true\n[domain d]\nregion = r\n", version)
	for name, key := range genesis().Approvers {
		fmt.Fprintf(&b, "[approver %s]\npublicKey = %x\n", name, key)
	}
	b.WriteString("[class c]\nimportance = 10\n[service s]\n" +
		"[route s/get]\nservice = s\nmethod = GET\npath = /x\nclass = c\nattempts = 3\n" +
		"[route s/book]\nservice = s\nmethod = POST\npath = /x\nclass = c\nattempts = 3\nneverRepeat = true\n")
	return []byte(b.String())
}

// cluster is a shared log and some nodes, connected over loopback sockets.
type cluster struct {
	t          testing.TB
	log        *zystandin.Log
	logAddress string
	apps       []*fx.App
	nodes      []*zynode.Node
}

func newCluster(t testing.TB) *cluster {
	s := &cluster{t: t, log: &zystandin.Log{}}
	server := httptest.NewServer(s.log.Handler())
	s.logAddress = server.Listener.Addr().String()
	t.Cleanup(func() {
		s.stop()
		server.Close()
	})
	return s
}

func (s *cluster) add(host string) *zynode.Node {
	const anyPort = "127.0.0.1:0"
	settings := &zysettings.Settings{
		Host: host, Locality: zinniayoke.Locality{Domain: "d", Region: "r"}, PeerKey: make([]byte, 32), LogAddress: s.logAddress,
		Listen:   zysettings.Listen{Caller: anyPort, Upstream: anyPort, Peer: anyPort, Admin: anyPort},
		Logging:  zysettings.Logging{Level: "error", Format: "text"},
		Genesis:  zysettings.Genesis{Approvals: 1, Approvers: genesis().Approvers},
		Shutdown: zysettings.Shutdown{Grace: 5 * time.Second},
	}
	if len(s.nodes) > 0 {
		settings.Seeds = []string{s.nodes[0].Addresses().Peer}
	}
	var node *zynode.Node
	app := zynode.App(zynode.Config{Settings: settings, Output: io.Discard}, fx.Populate(&node))
	if err := app.Start(context.Background()); err != nil {
		s.t.Fatal(err)
	}
	s.apps = append(s.apps, app)
	s.nodes = append(s.nodes, node)
	return node
}

func (s *cluster) stop() {
	for _, app := range s.apps {
		if err := app.Stop(context.Background()); err != nil {
			s.t.Errorf("stopping the app: %v", err)
		}
	}
	s.apps = nil
}

// rollOut proposes, signs and rolls out a bundle through the shared log.
func (s *cluster) rollOut(text []byte) {
	s.t.Helper()
	operator := func(name string) *zyoperator.Operator {
		return zyoperator.New(zyoperator.Config{
			Log: zylog.NewClient(zylog.ClientConfig{Address: s.logAddress}), Genesis: genesis(), Name: name, Key: privateKey(name),
		})
	}
	ctx := context.Background()
	hash, err := operator("alice").Propose(ctx, "bundle", text)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := operator("bob").SignOff(ctx, hash); err != nil {
		s.t.Fatal(err)
	}
	if _, err := operator("alice").RollOut(ctx, hash); err != nil {
		s.t.Fatal(err)
	}
}

// worker starts a worker with the given handler, announces it to a node and returns
// its address.
func (s *cluster) worker(n *zynode.Node, h http.Handler) string {
	s.t.Helper()
	server := httptest.NewServer(h)
	s.t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	w := zystandin.NewWorker(zystandin.WorkerConfig{
		Service: "s", Slots: 100, MaxConnections: 200, NodeUpstreamAddress: n.Addresses().Upstream, Address: address,
	})
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go w.KeepAnnouncing(ctx)
	return address
}

// waitFor polls until the condition holds, for at most 12 s.
func (s *cluster) waitFor(what string, holds func() bool) {
	s.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("timed out waiting until %s", what)
}

func respond(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "complete response")
}

// sendAtRate sends n requests at a steady rate per second and returns their latencies
// in ascending order.
func sendAtRate(b *testing.B, client *http.Client, rate, n int, request func() *http.Request) []time.Duration {
	times := make([]time.Duration, n)
	done := make(chan struct{}, n)
	begin := time.Now()
	for i := range n {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		go func() {
			defer func() { done <- struct{}{} }()
			start := time.Now()
			resp, err := client.Do(request())
			if err != nil {
				b.Error(err)
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				b.Errorf("status %d, %v", resp.StatusCode, err)
			}
			times[i] = time.Since(start)
		}()
	}
	for range n {
		<-done
	}
	slices.Sort(times)
	return times
}

// BenchmarkAddedLatency measures calls through an entry node and the node of
// the worker, and direct calls to the same worker, at several rates. The
// difference is the latency that the two nodes add.
func BenchmarkAddedLatency(b *testing.B) {
	s := newCluster(b)
	entry := s.add("entry")
	host := s.add("host")
	s.rollOut(bundleText(1))
	worker := s.worker(host, http.HandlerFunc(respond))
	s.waitFor("the entry node knows the worker", func() bool { return entry.Ready() == nil && entry.ServingWorkers() == 1 })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	lastKey := 0
	get := func(url string) func() *http.Request {
		return func() *http.Request {
			r, _ := http.NewRequest(http.MethodGet, url, http.NoBody)
			return r
		}
	}
	book := func() *http.Request {
		lastKey++
		r, _ := http.NewRequest(http.MethodPost, "http://"+entry.Addresses().Caller+"/call/s/x", strings.NewReader("body"))
		r.Header.Set("Idempotency-Key", fmt.Sprint(lastKey))
		return r
	}
	for _, rate := range []int{83, 2000} {
		for _, c := range []struct {
			name    string
			request func() *http.Request
		}{
			{"direct", get("http://" + worker + "/x")},
			{"plain", get("http://" + entry.Addresses().Caller + "/call/s/x")},
			{"neverRepeat", book},
		} {
			b.Run(fmt.Sprintf("%s/%dps", c.name, rate), func(b *testing.B) {
				sendAtRate(b, client, rate, 100, c.request)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				b.ResetTimer()
				n := max(b.N, rate*3)
				times := sendAtRate(b, client, rate, n, c.request)
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(times[n/2].Microseconds()), "p50-µs")
				b.ReportMetric(float64(times[n*99/100].Microseconds()), "p99-µs")
				b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(n), "mallocs/call")
			})
		}
	}
}

// BenchmarkThroughput measures calls per second through an entry node and the node of
// the worker, with the callers and the worker in the same process.
func BenchmarkThroughput(b *testing.B) {
	s := newCluster(b)
	entry := s.add("entry")
	host := s.add("host")
	s.rollOut(bundleText(1))
	s.worker(host, http.HandlerFunc(respond))
	s.waitFor("the entry node knows the worker", func() bool { return entry.Ready() == nil && entry.ServingWorkers() == 1 })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	url := "http://" + entry.Addresses().Caller + "/call/s/x"
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
}

// TestStopCompletesCallsInFlight stops the node of a worker while a call is in flight:
// the call gets its complete response, and later calls are refused as not run.
func TestStopCompletesCallsInFlight(t *testing.T) {
	s := newCluster(t)
	entry := s.add("entry")
	host := s.add("host")
	s.add("third")
	s.rollOut(bundleText(1))
	started := make(chan struct{}, 10)
	s.worker(host, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "complete response")
	}))
	s.waitFor("the entry node knows the worker", func() bool { return entry.Ready() == nil && entry.ServingWorkers() == 1 })
	results := make(chan string, 1)
	go func() {
		resp, err := http.Post("http://"+entry.Addresses().Caller+"/call/s/x", "text/plain", strings.NewReader("b"))
		if err != nil {
			results <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		raw, _ := io.ReadAll(resp.Body)
		results <- string(raw)
	}()
	<-started
	if err := s.apps[1].Stop(context.Background()); err != nil {
		t.Errorf("stopping the worker's node: %v", err)
	}
	if got := <-results; got != "complete response" {
		t.Errorf("body of the call in flight: %q", got)
	}
	resp, err := http.Get("http://" + entry.Addresses().Caller + "/call/s/x")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Zinniayoke-Outcome") != "notRun" {
		t.Errorf("call after the stop: status %d, outcome %s", resp.StatusCode, resp.Header.Get("Zinniayoke-Outcome"))
	}
	s.apps = slices.Delete(s.apps, 1, 2)
	if _, err := net.DialTimeout("tcp", host.Addresses().Caller, time.Second); err == nil {
		t.Error("the stopped node still accepts connections")
	}
}
