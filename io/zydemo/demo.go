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
	// Duration is the total time of the three phases.
	Duration time.Duration
	// Faults injects failures during the surge: the log is down, a host crashes
	// and is replaced, and a worker restarts.
	Faults bool
	// ProgressOutput receives one line for each step; nil discards them.
	ProgressOutput io.Writer
	// LogOutput receives the logs of the nodes.
	LogOutput io.Writer
}

// Report holds the results of a demo.
type Report struct {
	Deployment string          `json:"deployment"`
	Classes    []zyload.Result `json:"classes"`
	// DuplicateRuns counts bookings that workers ran more than once.
	DuplicateRuns int `json:"doubledBookings"`
	// FalseNotRun counts bookings that ran although the outcome reported to
	// their caller was notRun.
	FalseNotRun int `json:"falseNotRun"`
	// FalseDone counts bookings that never ran although the outcome reported to
	// their caller was done.
	FalseDone int `json:"lostDone"`
	// WrongResponses counts responses that belong to another call.
	WrongResponses int `json:"wrongAnswers"`
	MaxAttempts    int `json:"mostAttempts"`
	// AllowedAttempts is the largest number of attempts per request that any route
	// of the bundle allows.
	AllowedAttempts int     `json:"allowedAttempts"`
	RecoverySeconds float64 `json:"recoverySeconds"`
	Recovered       bool    `json:"recovered"`
	// Series counts calls and successful calls per tenth of a second.
	Series []zyload.Interval `json:"series"`
	// ReadySeconds is the time from the start of the first node until all nodes
	// have the bundle in force and know the workers of all hosts.
	ReadySeconds float64 `json:"readySeconds"`
}

// Violations describes the guarantees that were violated.
func (r *Report) Violations() []string {
	var violations []string
	if r.DuplicateRuns > 0 {
		violations = append(violations, fmt.Sprintf("%d bookings ran more than once", r.DuplicateRuns))
	}
	if r.FalseNotRun > 0 {
		violations = append(violations, fmt.Sprintf("%d bookings ran although their outcome was notRun", r.FalseNotRun))
	}
	if r.FalseDone > 0 {
		violations = append(violations, fmt.Sprintf("%d bookings never ran although their outcome was done", r.FalseDone))
	}
	if r.WrongResponses > 0 {
		violations = append(violations, fmt.Sprintf("%d responses belonged to another call", r.WrongResponses))
	}
	if r.MaxAttempts > r.AllowedAttempts {
		violations = append(violations, fmt.Sprintf("%d attempts of one request, but only %d are allowed", r.MaxAttempts, r.AllowedAttempts))
	}
	return violations
}

// UnknownDeploymentError reports a name that is not in Deployments.
type UnknownDeploymentError struct {
	Name string
}

// Error returns the name and the accepted ones.
func (e *UnknownDeploymentError) Error() string {
	return fmt.Sprintf("unknown deployment %q; accepted: hollander, tabighi", e.Name)
}

// demo is the state of one run.
type demo struct {
	cfg        Config
	deployment Deployment
	log        *zystandin.Log
	logAddress string
	hosts      []*host
	// lostHosts holds the hosts that crashed; the runs of their workers still count.
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

// Run runs a demo. The error is an *UnknownDeploymentError, ErrNotReady, or says
// which component could not start or which step of the roll-out failed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	deployment, ok := Deployments()[cfg.Deployment]
	if !ok {
		return nil, &UnknownDeploymentError{Name: cfg.Deployment}
	}
	if cfg.ProgressOutput == nil {
		cfg.ProgressOutput = io.Discard
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
	_, _ = fmt.Fprintf(d.cfg.ProgressOutput, format+"\n", args...)
}

// start starts the log, the nodes and the workers.
func (d *demo) start(ctx context.Context) error {
	address, err := d.startServer(d.log.Handler())
	if err != nil {
		return err
	}
	d.logAddress = address
	for _, locality := range d.deployment.Domains {
		for _, s := range d.deployment.Services {
			h, err := d.startHost(ctx, locality, s)
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
		return "", fmt.Errorf("listen for log stand-in: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// OperatorKey returns the signing key of one of the demo's operators, derived from
// the name.
func OperatorKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("zinniayoke demo " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

const (
	proposer = "alice"
	approver = "bob"
)

// genesisPolicy returns the approval policy for the first bundle.
func genesisPolicy() zyagreement.ApprovalPolicy {
	approvers := make(map[string]ed25519.PublicKey)
	for _, name := range []string{proposer, approver} {
		approvers[name], _ = OperatorKey(name).Public().(ed25519.PublicKey)
	}
	return zyagreement.ApprovalPolicy{Approvals: 1, Approvers: approvers}
}

// rollOutBundle proposes the bundle as one operator, signs it off as another and
// rolls it out.
func (d *demo) rollOutBundle(ctx context.Context) error {
	text, err := examples.Files.ReadFile(d.deployment.Bundle)
	if err != nil {
		return fmt.Errorf("read example bundle: %w", err)
	}
	log := zylog.NewClient(zylog.ClientConfig{Address: d.logAddress})
	operator := func(name string) *zyoperator.Operator {
		return zyoperator.New(zyoperator.Config{Log: log, Genesis: genesisPolicy(), Name: name, Key: OperatorKey(name)})
	}
	hash, err := operator(proposer).Propose(ctx, d.deployment.Bundle, text)
	if err != nil {
		return fmt.Errorf("propose bundle %s: %w", d.deployment.Bundle, err)
	}
	d.progressf("%s proposed bundle %.12s.", proposer, hash)
	if err := operator(approver).SignOff(ctx, hash); err != nil {
		return fmt.Errorf("sign off proposal %s: %w", hash, err)
	}
	d.progressf("%s signed it off.", approver)
	version, err := operator(proposer).RollOut(ctx, hash)
	if err != nil {
		return fmt.Errorf("roll out proposal %s: %w", hash, err)
	}
	d.progressf("Version %d is rolled out.", version)
	return nil
}

// ErrNotReady reports that the nodes did not become ready in time.
var ErrNotReady = errors.New("the nodes did not become ready in time")

// awaitReady waits until each node has a bundle in force and knows the workers of
// all hosts. The error is ErrNotReady.
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

// runLoad runs the three phases: steady, surge, steady.
func (d *demo) runLoad(ctx context.Context) *Report {
	entryAddresses := make([]string, 0, len(d.hosts))
	for _, h := range d.hosts {
		entryAddresses = append(entryAddresses, h.node.Addresses().Caller)
	}
	g := zyload.New(zyload.Config{EntryAddresses: entryAddresses, Timeout: callTimeout, MaxInFlight: maxInFlight})
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
	d.progressf("Surge: five times the steady load is added, and callers retry failed calls at once, up to %d times.", surgeRetries)
	surge, stopSurge := context.WithTimeout(steady, phase)
	defer stopSurge()
	if d.cfg.Faults {
		go d.injectFaults(ctx, phase)
	}
	g.Run(surge, d.deployment.SurgeFlows)
	surgeEnd := g.ElapsedIntervals()
	d.progressf("Steady load again.")
	<-done
	return d.newReport(g, surgeEnd)
}

// sleep waits for t or until ctx is done.
func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t):
	case <-ctx.Done():
	}
}

func (d *demo) newReport(g *zyload.Generator, surgeEnd int) *Report {
	r := &Report{Deployment: d.cfg.Deployment, AllowedAttempts: d.allowedAttempts()}
	results := g.Results()
	for _, class := range d.deployment.Classes {
		r.Classes = append(r.Classes, results[class])
		r.WrongResponses += results[class].WrongResponses
		r.MaxAttempts = max(r.MaxAttempts, results[class].MaxAttempts)
	}
	recovery, ok := g.RecoveryTime(surgeEnd, recoveredShare)
	r.RecoverySeconds, r.Recovered = recovery.Seconds(), ok
	r.Series = g.Series()
	d.countViolations(r, g.KeyedOutcomes())
	return r
}

// countViolations compares the outcomes reported to callers with the runs that
// the workers counted.
func (d *demo) countViolations(r *Report, outcomes map[string]string) {
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
		if outcomes[id] == zinniayoke.OutcomeNotRun.String() {
			r.FalseNotRun++
		}
	}
	for id, outcome := range outcomes {
		if outcome == zinniayoke.OutcomeDone.String() && runs[id] == 0 {
			r.FalseDone++
		}
	}
}

func (d *demo) allowedAttempts() int {
	allowed := 0
	for _, route := range d.hosts[0].node.Bundle().Routes {
		allowed = max(allowed, int(route.Attempts))
	}
	return allowed
}

// stop stops all nodes gracefully and in parallel, then ends the announcements of
// the workers and closes the log server.
func (d *demo) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var stopping sync.WaitGroup
	for _, h := range d.hosts {
		stopping.Go(func() { _ = h.app.Stop(ctx) })
	}
	stopping.Wait()
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
	violations := r.Violations()
	sort.Strings(violations)
	for _, violation := range violations {
		_, _ = fmt.Fprintln(w, "BROKEN:", violation)
	}
}
