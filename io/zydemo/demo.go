package zydemo

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"zinniayoke"
	"zinniayoke/core/zyagreement"
	"zinniayoke/examples"
	"zinniayoke/io/zyload"
	"zinniayoke/io/zylog"
	"zinniayoke/io/zyoperator"
	"zinniayoke/io/zystandin"
)

// Config configures a demo.
type Config struct {
	Deployment string
	// Duration is the time of the three phases together.
	Duration time.Duration
	// Faults adds failures to the surge: the log is down, a host is lost and
	// replaced, and a worker restarts.
	Faults bool
	// Progress receives what happens; nil discards it.
	Progress io.Writer
	// Logs receives the logs of the nodes.
	Logs io.Writer
}

// Report is what a demo has come to.
type Report struct {
	Deployment string          `json:"deployment"`
	Classes    []zyload.Result `json:"classes"`
	// DuplicateRuns counts bookings that some worker ran more than once.
	DuplicateRuns int `json:"doubledBookings"`
	// FalseNotRun counts bookings that ran although their caller was told notRun.
	FalseNotRun int `json:"falseNotRun"`
	// FalseDone counts bookings whose caller was told done and that never ran.
	FalseDone int `json:"lostDone"`
	// WrongResponses counts answers that reached the wrong caller.
	WrongResponses int `json:"wrongAnswers"`
	MaxAttempts    int `json:"mostAttempts"`
	// AllowedAttempts is the largest number that the bundle allows.
	AllowedAttempts int     `json:"allowedAttempts"`
	RecoverySeconds float64 `json:"recoverySeconds"`
	Recovered       bool    `json:"recovered"`
	// Series holds sent and whole calls for each tenth of a second.
	Series []zyload.Interval `json:"series"`
	// ReadySeconds is the time from the start of the first node to the bundle in
	// force on all.
	ReadySeconds float64 `json:"readySeconds"`
}

// Violations returns the promises that were broken.
func (r *Report) Violations() []string {
	var broken []string
	if r.DuplicateRuns > 0 {
		broken = append(broken, fmt.Sprintf("%d bookings ran more than once", r.DuplicateRuns))
	}
	if r.FalseNotRun > 0 {
		broken = append(broken, fmt.Sprintf("%d bookings ran although notRun was said", r.FalseNotRun))
	}
	if r.FalseDone > 0 {
		broken = append(broken, fmt.Sprintf("%d bookings never ran although done was said", r.FalseDone))
	}
	if r.WrongResponses > 0 {
		broken = append(broken, fmt.Sprintf("%d answers reached the wrong caller", r.WrongResponses))
	}
	if r.MaxAttempts > r.AllowedAttempts {
		broken = append(broken, fmt.Sprintf("%d attempts of one request; %d are allowed", r.MaxAttempts, r.AllowedAttempts))
	}
	return broken
}

// UnknownDeploymentError says that no deployment has this name.
type UnknownDeploymentError struct {
	Name string
}

// Error returns the name and what is accepted.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("deployment %q: accepted: hollander, tabighi", e.Name)
}

// demo is one run.
type demo struct {
	cfg        Config
	deployment Deployment
	log        *zystandin.Log
	logAddress string
	hosts      []*host
	// lostHosts holds the hosts that were lost; what their workers ran still counts.
	lostHosts []*host
	servers   []*http.Server
	cancel    context.CancelFunc
}

const (
	startTimeout   = 30 * time.Second
	recoveredShare = 0.99
	phaseCount     = 3
	callTimeout    = 5 * time.Second
	maxInFlight    = 2000
)

// Run runs a demo. The error is an *UnknownDeploymentError or that of a part
// that could not start.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	deployment, ok := Deployments()[cfg.Deployment]
	if !ok {
		return nil, &UnknownDeploymentError{Name: cfg.Deployment}
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &demo{cfg: cfg, deployment: deployment, log: &zystandin.Log{}, cancel: cancel}
	defer d.stop()
	start := time.Now()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	if err := d.rollOutBundle(ctx); err != nil {
		return nil, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	ready := time.Since(start)
	d.progressf("%d nodes are ready after %.1fs.", len(d.hosts), ready.Seconds())
	report := d.runLoad(ctx)
	report.ReadySeconds = ready.Seconds()
	return report, nil
}

func (d *demo) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Progress, format+"\n", args...)
}

// start brings the log, the nodes and the workers up.
func (d *demo) start(ctx context.Context) error {
	address, err := d.startServer(d.log.Handler())
	if err != nil {
		return err
	}
	d.logAddress = address
	for _, place := range d.deployment.Domains {
		for _, s := range d.deployment.Services {
			h, err := d.startHost(ctx, place, s)
			if err != nil {
				return err
			}
			d.hosts = append(d.hosts, h)
		}
	}
	return nil
}

func (d *demo) startServer(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// OperatorKey returns the key of one of the demo's operators.
func OperatorKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("zinniayoke demo " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

const (
	proposer = "alice"
	approver = "bob"
)

func genesisPolicy() zyagreement.ApprovalPolicy {
	approvers := make(map[string]ed25519.PublicKey)
	for _, name := range []string{proposer, approver} {
		approvers[name], _ = OperatorKey(name).Public().(ed25519.PublicKey)
	}
	return zyagreement.ApprovalPolicy{Approvals: 1, Approvers: approvers}
}

// rollOutBundle has the bundle proposed by one operator, signed off by another and
// rolled out.
func (d *demo) rollOutBundle(ctx context.Context) error {
	text, err := examples.Files.ReadFile(d.deployment.Bundle)
	if err != nil {
		return fmt.Errorf("bundle: %w", err)
	}
	log := zylog.NewClient(zylog.ClientConfig{Address: d.logAddress})
	operator := func(name string) *zyoperator.Operator {
		return zyoperator.New(zyoperator.Config{Log: log, Genesis: genesisPolicy(), Name: name, Key: OperatorKey(name)})
	}
	hash, err := operator(proposer).Propose(ctx, d.deployment.Bundle, text)
	if err != nil {
		return fmt.Errorf("proposal: %w", err)
	}
	d.progressf("%s proposed bundle %.12s.", proposer, hash)
	if err := operator(approver).SignOff(ctx, hash); err != nil {
		return fmt.Errorf("sign-off: %w", err)
	}
	d.progressf("%s signed it off.", approver)
	version, err := operator(proposer).RollOut(ctx, hash)
	if err != nil {
		return fmt.Errorf("roll-out: %w", err)
	}
	d.progressf("Version %d is rolled out.", version)
	return nil
}

// ErrNotReady says that the nodes did not get ready in time.
var ErrNotReady = errors.New("the nodes did not get ready in time")

// awaitReady waits until each node has the bundle, all members and its worker.
func (d *demo) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if d.allReady() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ErrNotReady
}

func (d *demo) allReady() bool {
	for _, h := range d.hosts {
		if h.node.Ready() != nil || h.node.ServingWorkers() < len(d.hosts) {
			return false
		}
	}
	return true
}

// runLoad runs the three phases.
func (d *demo) runLoad(ctx context.Context) *Report {
	entries := make([]string, 0, len(d.hosts))
	for _, h := range d.hosts {
		entries = append(entries, h.node.Addresses().Caller)
	}
	g := zyload.New(zyload.Config{EntryAddresses: entries, Timeout: callTimeout, MaxInFlight: maxInFlight})
	phase := d.cfg.Duration / phaseCount
	steady, stopSteady := context.WithTimeout(ctx, d.cfg.Duration)
	defer stopSteady()
	done := make(chan struct{})
	go func() {
		g.Run(steady, d.deployment.SteadyFlows)
		close(done)
	}()
	d.progressf("Steady load.")
	sleep(steady, phase)
	d.progressf("Surge: five times the load, and failed calls are sent again up to %d times at once.", surgeRetries)
	surge, stopSurge := context.WithTimeout(steady, phase)
	defer stopSurge()
	if d.cfg.Faults {
		go d.injectFaults(ctx, phase)
	}
	g.Run(surge, d.deployment.SurgeFlows)
	passed := g.ElapsedIntervals()
	d.progressf("Steady load again.")
	<-done
	return d.newReport(g, passed)
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

func (d *demo) newReport(g *zyload.Generator, passed int) *Report {
	r := &Report{Deployment: d.cfg.Deployment, AllowedAttempts: d.allowedAttempts()}
	results := g.Results()
	for _, class := range d.deployment.Classes {
		r.Classes = append(r.Classes, results[class])
		r.WrongResponses += results[class].WrongResponses
		r.MaxAttempts = max(r.MaxAttempts, results[class].MaxAttempts)
	}
	recovery, ok := g.RecoveryTime(passed, recoveredShare)
	r.RecoverySeconds, r.Recovered = recovery.Seconds(), ok
	r.Series = g.Series()
	d.countViolations(r, g.KeyedOutcomes())
	return r
}

// countViolations compares what callers were told with what the workers ran.
func (d *demo) countViolations(r *Report, told map[string]string) {
	runs := make(map[string]int)
	for _, h := range append(d.lostHosts, d.hosts...) {
		for _, w := range h.workers {
			for id, n := range w.RunCounts() {
				runs[id] += n
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			r.DuplicateRuns++
		}
		if told[id] == zinniayoke.OutcomeNotRun.String() {
			r.FalseNotRun++
		}
	}
	for id, outcome := range told {
		if outcome == zinniayoke.OutcomeDone.String() && runs[id] == 0 {
			r.FalseDone++
		}
	}
}

func (d *demo) allowedAttempts() int {
	most := 0
	for _, route := range d.hosts[0].node.Rules().Routes {
		most = max(most, int(route.Attempts))
	}
	return most
}

// stop ends the nodes gracefully, the last one first.
func (d *demo) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var active sync.WaitGroup
	for _, h := range d.hosts {
		active.Go(func() { _ = h.app.Stop(ctx) })
	}
	active.Wait()
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "\n%-14s %7s %7s %7s %7s %7s %7s %9s %9s %9s\n",
		"class", "calls", "whole", "notRun", "unknown", "failed", "sends", "p50 ms", "p99 ms", "attempts")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(w, "%-14s %7d %7d %7d %7d %7d %7d %9.1f %9.1f %9d\n",
			c.Class, c.Calls, c.Succeeded, c.NotRun, c.Unknown, c.Failed, c.Sends, c.P50, c.P99, c.MaxAttempts)
	}
	_, _ = fmt.Fprintf(w, "\nbookings that ran twice: %d\nanswers to the wrong caller: %d\n", r.DuplicateRuns, r.WrongResponses)
	_, _ = fmt.Fprintf(w, "said notRun but ran: %d\nsaid done but never ran: %d\n", r.FalseNotRun, r.FalseDone)
	_, _ = fmt.Fprintf(w, "most attempts of one call, its re-sends included: %d (allowed %d)\n", r.MaxAttempts, r.AllowedAttempts)
	if r.Recovered {
		_, _ = fmt.Fprintf(w, "recovery after the surge: %.1f s\n", r.RecoverySeconds)
	} else {
		_, _ = fmt.Fprintln(w, "recovery after the surge: not within the demo")
	}
	broken := r.Violations()
	sort.Strings(broken)
	for _, b := range broken {
		_, _ = fmt.Fprintln(w, "BROKEN:", b)
	}
}
