package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the users' sites hkw-mesh and tbf-mesh.
const (
	drainMs       = 2500 * time.Millisecond
	graceS        = 6 * time.Second
	stableWindow  = 4 * time.Second
	configApply   = 2500 * time.Millisecond
	maxSkew       = 5 * time.Second
	startupTime   = 8 * time.Second // Traffic starts that long after the machines do.
	restartDelay  = 500 * time.Millisecond
	addrReuse     = 2 * time.Second
	deployProgram = "target/zinniayoke"
)

// settings is deploy/node.ini, filled in like the platform does.
const settings = `[node]
host = %s
domain = %s
region = %s
%s
[listen]
caller = %s
upstream = %s
peer = %s
admin = %s

[peers]
key = 7a696e6e6961796f6b652d6f6e2d7468652d75736572732d706c6174666f726d

[store]
address = %s

[worker]
service = %s
address = %s
heartbeat = 1500ms
drain = 2500ms

[memory]
limit = 284MiB

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
grace = 6s
notice = 2500ms
`

// machine is one machine: its node, a process of the project, and the address of its worker.
type machine struct {
	t                                  *test
	name, zone, region, service        string
	caller, control, peer, ready, app  string
	storeAddress, settingsFile, logged string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// expected is true once a signal was sent that is to end the process.
	expected bool
	// disturbedAt is when the process was last started or got a signal.
	disturbedAt time.Time
	starts      int
	ownEnds     int
}

// network is the beginning of the loopback addresses of this run, one for each machine. The ports
// below are outside the range from which the system takes ports for connections.
func openNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d.", 64+rand.IntN(128), 1+rand.IntN(250))
		if _, err := net.Listen("tcp", network+"250:8300"); err == nil { // Held until the process ends.
			return network
		}
	}
}

func (t *test) newMachine(name, zone, region, service string) *machine {
	ip := fmt.Sprintf("%s%d", t.network, len(t.machines)+1)
	m := &machine{
		t: t, name: name, zone: zone, region: region, service: service,
		caller: ip + ":8304", control: ip + ":8306", peer: ip + ":7620", ready: ip + ":8302", app: ip + ":8301",
		settingsFile: filepath.Join(t.dir, name+".ini"), logged: filepath.Join(t.dir, name+".log"),
	}
	m.storeAddress = t.store.listen(name, ip+":8309")
	t.machines = append(t.machines, m)
	return m
}

// start starts the node's process.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writeSettings(m.starts == 0)
	m.starts++
	out, err := os.OpenFile(m.logged, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	defer func() { _ = out.Close() }()
	cmd := exec.Command(deployProgram, "node", "--settings", m.settingsFile)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	exited := make(chan struct{})
	m.cmd, m.exited, m.expected, m.disturbedAt = cmd, exited, false, time.Now()
	m.t.recordf("node start machine=%s", m.name)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		expected := m.expected
		if !expected {
			m.ownEnds++
		}
		m.mu.Unlock()
		m.t.recordf("node end machine=%s expected=%t result=%v", m.name, expected, err)
		close(exited)
	}()
}

// writeSettings fills in the settings file, as the platform does at each start and whenever the
// settings change.
func (m *machine) writeSettings(first bool) {
	bootstrap := ""
	if first {
		bootstrap = "bootstrap = true\n"
	}
	text := fmt.Sprintf(settings, m.name, m.zone, m.region, bootstrap, m.caller, m.control, m.peer, m.ready, m.storeAddress, m.service, m.app)
	must(os.WriteFile(m.settingsFile, []byte(text), 0o600))
}

// signal sends a signal. Signals that end the process or pause it count as a disturbance.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.t.recordf("signal %s machine=%s", s, m.name)
	if s != syscall.SIGHUP {
		m.disturbedAt = time.Now()
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected = true
	}
	_ = m.cmd.Process.Signal(s)
}

// restart ends the process as the platform does, and starts it again.
func (m *machine) restart(s syscall.Signal) {
	m.signal(s)
	select {
	case <-m.exited:
	case <-time.After(graceS):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	time.Sleep(restartDelay)
	m.start()
}

// undisturbedSince returns since when the process runs undisturbed.
func (m *machine) undisturbedSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.disturbedAt
}
