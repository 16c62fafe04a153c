package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"zinniayoke/platform/zyfake"
)

const costSettings = `[node]
host = %s
domain = d
region = r
[listen]
caller = %[2]s:7100
upstream = %[2]s:7101
peer = %[2]s:7102
admin = %[2]s:7103
[peers]
key = 736f616b2d6b65792d736f616b2d6b65792d736f616b2d6b65792d736f616b21
[store]
address = %[3]s
[worker]
service = %[4]s
address = %[5]s
heartbeat = 500ms
drain = 2500ms
[memory]
limit = 184MiB
[processor]
threads = 1
[retry]
ratio = 0.2
window = 10s
slack = 48
[logging]
level = info
format = json
[shutdown]
grace = 3s
notice = 500ms
`

const costConfig = `{"version":1,"routes":{
"look":{"host":"h.example","pathPrefix":"/look/","kind":"safe","timeoutMs":5000,"targetLatencyMs":400,"priority":2,"service":"deep","attempts":2},
"open":{"host":"h.example","pathPrefix":"/open/","kind":"safe","timeoutMs":5000,"targetLatencyMs":400,"priority":2,"service":"deep","attempts":2,"public":true}},
"services":{"front":{"healthPath":"/health","maxConns":100},"deep":{"healthPath":"/health","maxConns":100}},
"tenants":{"c":{"apiKeys":["k1"],"priority":1,"ratePerS":1000000,"burst":1000000}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576}}`

// costHost is a host of the benchmark: the process of a node, and a fake worker.
type costHost struct {
	ip, service string
	worker      *zyfake.Worker
	cmd         *exec.Cmd
	slots       int
}

// costRuns counts the runs. Each has addresses and instances of its own, so that a late
// heartbeat of a worker of the previous run is of no effect.
var costRuns int

func newCostHost(b *testing.B, number int, service, store string, slots int, handle func(*zyfake.Request) (int, []byte)) *costHost {
	worker, err := zyfake.NewWorker(fmt.Sprintf("i-%d-%d", costRuns, number))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(worker.Close)
	worker.Handle = handle
	h := &costHost{ip: fmt.Sprintf("127.78.%d.%d", costRuns, number), service: service, worker: worker, slots: slots}
	file := filepath.Join(b.TempDir(), "node.ini")
	text := fmt.Sprintf(costSettings, fmt.Sprint("host", number), h.ip, store, service, worker.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	h.cmd = exec.Command(os.Args[0], "node", "--settings", file)
	h.cmd.Env = append(append(os.Environ(), runAsProgram+"=1"), strings.Fields(os.Getenv("COST_NODE_ENV"))...)
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	})
	return h
}

// announce sends heartbeats of the worker until ctx is done.
func (h *costHost) announce(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		body := fmt.Sprintf(`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z","slots":%d},"status":{"state":"ready","seq":%d,"coldRemainingMs":0},"born":1}`,
			h.worker.Address(), h.service, h.slots, seq)
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+h.ip+":7101/-/instances/"+h.worker.Instance, strings.NewReader(body))
		if err != nil {
			return
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// usage is what the kernel has counted for the processes of nodes.
type usage struct {
	processor time.Duration
	// switches counts the times that a thread has waited.
	switches int64
	// peakMemory is that of the largest process, in MiB.
	peakMemory float64
}

func totalUsage(b *testing.B, hosts []*costHost) usage {
	var u usage
	for _, h := range hosts {
		dir := fmt.Sprintf("/proc/%d/", h.cmd.Process.Pid)
		raw, err := os.ReadFile(dir + "stat")
		if err != nil {
			b.Fatal(err)
		}
		const tick, userTicks, systemTicks = 10 * time.Millisecond, 11, 12
		_, text, _ := strings.Cut(string(raw), ") ")
		fields := strings.Fields(text)
		user, _ := strconv.Atoi(fields[userTicks])
		system, _ := strconv.Atoi(fields[systemTicks])
		u.processor += time.Duration(user+system) * tick
		u.peakMemory = max(u.peakMemory, float64(statusField(dir+"status", "VmHWM:"))/1024)
		threads, _ := filepath.Glob(dir + "task/*/status")
		for _, file := range threads {
			u.switches += statusField(file, "voluntary_ctxt_switches:")
		}
	}
	return u
}

// statusField returns a field of a status file of a process or thread, 0 if the thread has
// ended.
func statusField(file, name string) int64 {
	raw, _ := os.ReadFile(file)
	for line := range strings.Lines(string(raw)) {
		if text, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			return n
		}
	}
	return 0
}

// costCase is a kind of load. Half of the nodes belong to the service that is called.
type costCase struct {
	name, path, key string
	// rate is in calls per second.
	rate, slots int
	// entries is the number of nodes that clients call. Calls that come only through the
	// nodes of the other service count as calls of its workers, which no entry sheds.
	entries int
	work    time.Duration
}

// BenchmarkNodeCost measures the processor time and the context switches of the processes
// of four nodes for a call, at a steady rate. The clients, the workers and the store are in
// the process of the benchmark and are not counted. COST_NODE_ENV holds variables for the
// environment of the nodes, separated by spaces.
func BenchmarkNodeCost(b *testing.B) {
	for _, c := range []costCase{
		{name: "idle", slots: 32, entries: 4},
		{name: "served", path: "/open/x", rate: 800, slots: 32, entries: 4, work: 2 * time.Millisecond},
		{name: "servedWithKey", path: "/look/x", key: "k1", rate: 800, slots: 32, entries: 4, work: 2 * time.Millisecond},
		{name: "unknownKey", path: "/look/x", key: "k2", rate: 2000, slots: 32, entries: 4},
		{name: "shed", path: "/open/x", rate: 2000, slots: 2, entries: 4, work: 50 * time.Millisecond},
		{name: "refusedByQueue", path: "/open/x", rate: 2000, slots: 2, entries: 2, work: 50 * time.Millisecond},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkNodeCost(b, c) })
	}
}

func benchmarkNodeCost(b *testing.B, c costCase) {
	costRuns++
	store := &zyfake.Store{}
	server := httptest.NewServer(store)
	b.Cleanup(server.Close)
	b.Cleanup(server.CloseClientConnections)
	store.Put("keyed.op", "config", []byte(costConfig))
	handle := func(r *zyfake.Request) (int, []byte) {
		time.Sleep(c.work)
		return http.StatusOK, []byte("whole answer to " + r.ID)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var hosts []*costHost
	for i, service := range []string{"front", "front", "deep", "deep"} {
		h := newCostHost(b, i+1, service, strings.TrimPrefix(server.URL, "http://"), c.slots, handle)
		hosts = append(hosts, h)
		go h.announce(ctx)
	}
	clients := &costClients{hosts: hosts[:c.entries], http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	const warmUpCalls = 80
	for clients.served.Load() < warmUpCalls { // Each node has a configuration and knows the workers.
		clients.send(ctx, "/open/x", "")
		time.Sleep(5 * time.Millisecond)
	}
	const warmUp, measured = 2 * time.Second, 5 * time.Second
	clients.load(ctx, c, warmUp)
	before := totalUsage(b, hosts)
	clients.served.Store(0)
	clients.refused.Store(0)
	clients.load(ctx, c, measured)
	after := totalUsage(b, hosts)
	processor := float64((after.processor - before.processor).Microseconds())
	switches := float64(after.switches - before.switches)
	if served, refused := float64(clients.served.Load()), float64(clients.refused.Load()); c.rate > 0 {
		b.ReportMetric(processor/(served+refused), "cpu-µs/call")
		b.ReportMetric(switches/(served+refused), "switches/call")
		b.ReportMetric(served/(served+refused), "served")
	} else {
		seconds := measured.Seconds() * float64(len(hosts))
		b.ReportMetric(processor/seconds, "cpu-µs/s")
		b.ReportMetric(switches/seconds, "switches/s")
	}
	b.ReportMetric(after.peakMemory, "peak-MiB")
	b.ReportMetric(0, "ns/op")
}

// costClients sends requests to the hosts in turn.
type costClients struct {
	hosts                 []*costHost
	http                  *http.Client
	sent, served, refused atomic.Int64
}

func (c *costClients) load(ctx context.Context, load costCase, duration time.Duration) {
	if load.rate == 0 {
		time.Sleep(duration)
		return
	}
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range int(duration.Seconds() * float64(load.rate)) {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(load.rate))))
		wg.Go(func() { c.send(ctx, load.path, load.key) })
	}
	wg.Wait()
}

// send sends a request with a path of its own: equal calls would count as retries.
func (c *costClients) send(ctx context.Context, path, key string) {
	number := c.sent.Add(1)
	id := strconv.FormatInt(number, 10)
	host := c.hosts[number%int64(len(c.hosts))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.ip+":7100"+path+id, http.NoBody)
	if err != nil {
		return
	}
	req.Host = "h.example"
	req.Header.Set("X-Zinniayoke-Request-Id", "request-"+id)
	req.Header.Set("X-Zinniayoke-Deadline-Ms", "5000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		c.served.Add(1)
	} else {
		c.refused.Add(1)
	}
}
