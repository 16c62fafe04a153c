package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a machine of the deployment: the process of a node and the worker beside it.
type host struct {
	name, zone, region                      string
	outbound, inbound, ready, control, peer string
	settings, log                           string
	worker                                  *worker

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root, dir string
	store     *store
	hosts     []*host
	record    *record
}

// record is what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// givenAddresses holds the addresses that freeAddress has returned.
var givenAddresses sync.Map

// loopback is an address of the loopback network that hardly any other run has.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250))

// freeAddress returns a loopback address with a port that is free for TCP and UDP. It is below
// the ports that the system gives to outgoing connections.
func freeAddress() string {
	const lowest, count = 20000, 10000
	for {
		address := loopback + ":" + itoa(lowest+rand.IntN(count))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		if _, given := givenAddresses.LoadOrStore(address, true); !given {
			return address
		}
	}
}

// newDeployment creates the store and a temporary folder.
func newDeployment(root string, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &deployment{root: root, dir: dir, store: s, record: rec}, nil
}

// addHost adds a machine with its worker. The settings are those of the deploy file's
// template, with the bounds of a small site.
func (d *deployment) addHost(name, zone, region string, w *worker) (*host, error) {
	h := &host{
		name: name, zone: zone, region: region, worker: w, outbound: freeAddress(), inbound: freeAddress(), ready: freeAddress(),
		control: freeAddress(), peer: freeAddress(), settings: filepath.Join(d.dir, name+".ini"), log: filepath.Join(d.dir, name+".log"),
	}
	w.control, w.zone = h.control, zone
	if err := w.start(); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(d.root, "deploy", "node.ini"))
	if err != nil {
		return nil, err
	}
	ip, port, _ := net.SplitHostPort(h.peer)
	rendered := strings.NewReplacer(
		"{{#bootstrap}}\n", "", "{{/bootstrap}}\n", "",
		"{{nodeName}}", name, "{{zone}}", zone, "{{region}}", region, "{{listen.outbound}}", h.outbound, "{{listen.control}}", h.control,
		"{{listen.ready}}", h.ready, "{{ip}}", ip, "{{internalPorts.0}}", port, "{{platform.address}}", d.store.address,
		"{{service}}", w.service, "{{appAddr}}", w.address, "{{heartbeatMs}}", "1500", "{{bounds.drainMs}}", "2500",
		"{{limits.memoryMb}}", "284", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10", "{{bounds.budgetSlack}}", "48",
		"{{bounds.graceS}}", "6",
	).Replace(cutSection(string(text), "bounds.quotaWindowS"))
	if strings.Contains(rendered, "{{") {
		return nil, fmt.Errorf("deploy/node.ini has a placeholder that is not known: %s", rendered)
	}
	d.hosts = append(d.hosts, h)
	return h, os.WriteFile(h.settings, []byte(rendered), 0o600)
}

// cutSection removes a section whose value these sites do not have.
func cutSection(text, name string) string {
	before, rest, ok := strings.Cut(text, "{{#"+name+"}}\n")
	if !ok {
		return text
	}
	_, after, _ := strings.Cut(rest, "{{/"+name+"}}\n")
	return before + after
}

// run starts the process of the node with the command of the deploy file. The settings say
// bootstrap at the first start only.
func (h *host) run(root string) error {
	if h.gone != nil {
		text, err := os.ReadFile(h.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(h.settings, []byte(strings.Replace(string(text), "bootstrap = true\n", "", 1)), 0o600); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(root, "target", "zinniayoke"), "node", "--settings", h.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ZINNIAYOKE_NODE_FILE=" + h.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	gone := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.gone = cmd, gone
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(gone)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	gone := h.gone
	h.mu.Unlock()
	if gone != nil {
		<-gone
	}
}

// isReady reports whether the node answers the platform's readiness check with 200.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts all nodes and the heartbeats of their workers, and waits until all are ready
// and a request to each path is served at each host.
func (d *deployment) start(hostHeader string, paths ...string) error {
	for _, h := range d.hosts {
		if err := h.run(d.root); err != nil {
			return err
		}
		go h.worker.announce()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready or does not serve", h.name)
			}
			ok := h.isReady()
			for i, p := range paths {
				ok = ok && h.send(request{id: fmt.Sprintf("warm-%s-%d-%d", h.name, i, time.Now().UnixNano()), method: "GET", host: hostHeader, path: p, deadline: 2 * time.Second}).status == http.StatusOK
			}
			if ok {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // The members have found each other.
	return nil
}

// stop ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.signal(syscall.SIGCONT)
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// request is what a client sends.
type request struct {
	id, method, host, path string
	body                   []byte
	deadline               time.Duration
}

// answer is what a client gets; status 0 means no answer.
type answer struct {
	status    int
	id        string
	signature string
	body      string
	err       error
	sent, got time.Time
	// kept is true if the request came on a connection that had served another before.
	kept bool
}

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}

// send sends a request of a client on this machine and waits for the answer until the
// deadline of the request.
func (h *host) send(r request) answer {
	a := answer{sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+h.outbound+r.path, bytes.NewReader(r.body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = r.host
	req.Header.Set("X-Zinniayoke-Request-Id", r.id)
	req.Header.Set("X-Zinniayoke-Deadline-Ms", itoa(int(r.deadline.Milliseconds())))
	req.GetBody = nil
	resp, err := clientTransport.RoundTrip(req)
	a.got = time.Now()
	if err != nil {
		a.err = err
		return a
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.got, a.err = time.Now(), err
	a.status, a.body = resp.StatusCode, string(raw)
	a.id, a.signature = resp.Header.Get("X-Zinniayoke-Request-Id"), resp.Header.Get("X-Zinniayoke-Response-Signature")
	return a
}
