package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The settings that the platform fills in, those of hkw-mesh.
const (
	heartbeatPeriod = 1500 * time.Millisecond
	drainTime       = 2500 * time.Millisecond
	slots           = 48
)

// machine is a machine with a worker and the process of the node beside it.
type machine struct {
	name, zone, service string
	ip                  string
	caller, control     string
	ready               string
	dir                 string
	w                   *worker
	store               string // The address of the store.

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// machineConfig describes a machine.
type machineConfig struct {
	name, zone, service string
}

// deployment is a store and machines.
type deployment struct {
	dir      string
	rec      *record
	store    *store
	machines []*machine
	stop     chan struct{}
}

// newDeployment starts the store, and a worker and a node on each machine.
func newDeployment(rec *record, dir string, machines []machineConfig) (*deployment, error) {
	network, err := freeNetwork(len(machines))
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, stop: make(chan struct{}), store: s}
	for i, c := range machines {
		m := &machine{name: c.name, zone: c.zone, service: c.service, ip: fmt.Sprintf("%s.%d", network, i+1), dir: dir, store: s.address}
		m.caller, m.control, m.ready = m.ip+":8304", m.ip+":8306", m.ip+":8302"
		if m.w, err = newWorker(rec, "i-"+m.name, m.service, m.ip+":8301"); err != nil {
			return nil, err
		}
		d.machines = append(d.machines, m)
	}
	return d, nil
}

// start starts all nodes and the heartbeats of their workers, and waits until they are ready.
func (d *deployment) start() error {
	for _, m := range d.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		go m.w.announce(m.control, d.stop)
	}
	for _, m := range d.machines {
		if err := m.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// runs returns how often workers began to work on the request.
func (d *deployment) runs(id string) int {
	runs := 0
	for _, m := range d.machines {
		runs += m.w.runCount(id)
	}
	return runs
}

// close ends all processes.
func (d *deployment) close() {
	close(d.stop)
	for _, m := range d.machines {
		m.kill()
		m.w.close()
	}
	d.store.close()
}

// freeNetwork returns the first three numbers of a loopback network whose addresses are free.
func freeNetwork(machines int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 80+rand.IntN(100), 1+rand.IntN(250))
		free := true
		for i := range machines {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8304", network, i+1))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", fmt.Errorf("no loopback network is free")
}

var sections = regexp.MustCompile(`(?s)\{\{#([a-zA-Z.]+)\}\}\n(.*?)\{\{/[a-zA-Z.]+\}\}\n`)

// settings fills in the template of the deploy file as the platform does.
func (m *machine) settings(bootstrap bool) (string, error) {
	raw, err := os.ReadFile("deploy/node.ini")
	if err != nil {
		return "", fmt.Errorf("template of the settings: %w", err)
	}
	text := sections.ReplaceAllStringFunc(string(raw), func(s string) string {
		part := sections.FindStringSubmatch(s)
		if part[1] == "bootstrap" && bootstrap {
			return part[2]
		}
		return ""
	})
	return strings.NewReplacer(
		"{{nodeName}}", m.name, "{{zone}}", m.zone, "{{region}}", "east",
		"{{listen.outbound}}", m.caller, "{{listen.control}}", m.control, "{{listen.ready}}", m.ready,
		"{{ip}}", m.ip, "{{internalPorts.0}}", "7620", "{{platform.address}}", m.store,
		"{{service}}", m.service, "{{appAddr}}", m.w.address, "{{heartbeatMs}}", fmt.Sprint(heartbeatPeriod.Milliseconds()),
		"{{bounds.drainMs}}", fmt.Sprint(drainTime.Milliseconds()), "{{limits.memoryMb}}", "284",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10", "{{bounds.budgetSlack}}", "48",
		"{{bounds.graceS}}", "6",
	).Replace(text), nil
}

// start starts the process of the node with the command of the deploy file.
func (m *machine) start(bootstrap bool) error {
	text, err := m.settings(bootstrap)
	if err != nil {
		return err
	}
	file := filepath.Join(m.dir, m.name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("settings of %s: %w", m.name, err)
	}
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("log of %s: %w", m.name, err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/zinniayoke", "node", "--settings", file) //nolint:gosec // The program of the deploy file.
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start the node of %s: %w", m.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited = cmd, exited
	return nil
}

// signal sends a signal to the process of the node.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process of the node and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// awaitReady waits until the node says that it is ready.
func (m *machine) awaitReady(limit time.Duration) error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + m.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the node of %s did not get ready", m.name)
}
