// Command stand runs one case of the review: the project's nodes as processes of their own
// beside stand-ins of the platform's store, workers and clients, all on loopback addresses.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

const maxDuration = 115 * time.Second

// test is one run of a case.
type test struct {
	trouble bool
	dir     string
	network string
	// workTime is how long a worker runs a request.
	workTime time.Duration
	store    *store
	machines []*machine
	start    time.Time

	recordMu sync.Mutex
	out      *os.File

	mu         sync.Mutex
	executions []execution
	results    []result
	sent       int
	clients    sync.WaitGroup
}

// result is a request of a client and its answer. The status is 0 if there was none.
type result struct {
	id, path, signature, body string
	m                         *machine
	status                    int
	sentAt, doneAt            time.Time
	// undisturbedSince is since when the machine's process ran undisturbed at the end.
	undisturbedSince time.Time
}

// freshClient opens a connection for each request, so that it never repeats one by itself.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "", "file for the record")
	keep := flag.String("keep", "", "folder to keep settings and logs in")
	flag.Parse()
	os.Exit(run(*name, *record, *keep))
}

func run(name, record, keep string) (code int) {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	t := &test{trouble: os.Getenv("TROUBLE") != "0", store: newStore(), start: time.Now(), dir: keep, network: openNetwork(), workTime: 20 * time.Millisecond}
	defer func() {
		if problem := recover(); problem != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", problem)
			code = 2
		}
		t.end()
		if keep == "" {
			_ = os.RemoveAll(t.dir)
		}
	}()
	var err error
	if t.out, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep == "" {
		t.dir, err = os.MkdirTemp("", "stand2-")
	} else {
		err = os.MkdirAll(keep, 0o755)
	}
	must(err)
	must(checkProgram())
	// A node must not inherit that SIGHUP is ignored, as it is under nohup.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	time.AfterFunc(maxDuration, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		t.end()
		os.Exit(2)
	})
	broken := play(t)
	t.clients.Wait()
	verdict := "the rule held"
	if broken > 0 {
		verdict, code = "the rule was broken", 1
	}
	t.recordf("verdict: %s (violations: %d, trouble: %t)", verdict, broken, t.trouble)
	fmt.Printf("%s (violations: %d)\n", verdict, broken)
	return code
}

func checkProgram() error {
	if _, err := os.Stat(deployProgram); err != nil {
		return errors.New("build the deploy file first and start in the root of the repository")
	}
	return nil
}

// end ends all processes.
func (t *test) end() {
	for _, m := range t.machines {
		m.mu.Lock()
		cmd, exited := m.cmd, m.exited
		m.expected = true
		m.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-exited
		}
	}
}

// recordf writes a line with the time since the start.
func (t *test) recordf(format string, args ...any) {
	t.recordMu.Lock()
	defer t.recordMu.Unlock()
	_, _ = fmt.Fprintf(t.out, "%9.3f "+format+"\n", append([]any{time.Since(t.start).Seconds()}, args...)...)
}

func (t *test) since(at time.Time) float64 { return at.Sub(t.start).Seconds() }

func (t *test) addExecution(e execution) {
	t.mu.Lock()
	t.executions = append(t.executions, e)
	t.mu.Unlock()
	t.recordf("run id=%s service=%s instance=%s machine=%s caller=%s", e.id, e.service, e.instance, e.machine, e.caller)
}

// startAll starts all nodes at once and waits until they are ready and traffic may start.
func (t *test) startAll() {
	for _, m := range t.machines {
		m.start()
	}
	time.Sleep(time.Until(t.start.Add(startupTime)))
	for _, m := range t.machines {
		deadline := time.Now().Add(20 * time.Second)
		for !m.isReady() {
			if time.Now().After(deadline) {
				panic("the node of " + m.name + " is not ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// isReady asks the question that the platform asks once per second.
func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+"/-/ready", nil)
	must(err)
	resp, err := freshClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const (
	host     = "hulo84.example"
	deadline = 5 * time.Second
)

// send sends a request of a client to the machine's own node.
func (t *test) send(m *machine, method, path string) result {
	t.mu.Lock()
	t.sent++
	r := result{id: fmt.Sprintf("%08x", t.sent), path: path, m: m}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var body io.Reader
	if method != http.MethodGet {
		body = io.NopCloser(strings.NewReader("an order"))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.caller+path, body)
	must(err)
	req.Host = host
	req.Header.Set("X-Zinniayoke-Request-Id", r.id)
	req.Header.Set("X-Zinniayoke-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.sentAt = time.Now()
	t.recordf("sent id=%s machine=%s %s %s", r.id, m.name, method, path)
	if resp, err := freshClient.Do(req); err == nil {
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			r.status, r.body, r.signature = resp.StatusCode, string(raw), resp.Header.Get("X-Zinniayoke-Response-Signature")
		}
	} else if errors.Is(err, syscall.EADDRNOTAVAIL) || errors.As(err, new(*net.AddrError)) {
		panic(err)
	}
	r.doneAt, r.undisturbedSince = time.Now(), m.undisturbedSince()
	t.recordf("answered id=%s status=%d", r.id, r.status)
	t.mu.Lock()
	t.results = append(t.results, r)
	t.mu.Unlock()
	return r
}

// traffic sends requests to the machines in turn until the time, one each period.
func (t *test) traffic(until func() bool, period time.Duration, machines []*machine, method, path string) {
	t.clients.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for i := 0; !until(); i++ {
			m := machines[i%len(machines)]
			t.clients.Go(func() { t.send(m, method, path) })
			<-ticker.C
		}
	})
}

// inTouch reports whether the machine's process had run undisturbed for the whole window before
// the time.
func inTouch(undisturbedSince, at time.Time) bool { return at.Sub(undisturbedSince) >= stableWindow }
