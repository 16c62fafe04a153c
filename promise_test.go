package zinniayoke_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"zinniayoke"
	"zinniayoke/core/zyentry"
	"zinniayoke/core/zyidempotency"
)

// Use a fixed seed by default; the command line overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// noDeadlineTB hides the Deadline method of a test: a synctest bubble has no deadline.
type noDeadlineTB struct {
	rapid.TB
}

// send makes one call and checks its result against the oracle.
func (w *cluster) send(at *host, key, path string) {
	w.active.Add(1)
	go func() {
		defer w.active.Done()
		method, body := "POST", key
		if path == "/look" {
			method, key = "GET", ""
		}
		result := at.entry.Handle(context.Background(), &zyentry.Inbound{
			ClaimedCaller: "c", Key: key, Service: "front", HTTP: request(method, path), Body: []byte(body),
		})
		if !w.alive(at) {
			return
		}
		w.checkResult(key, body, result)
	}()
}

// checkResult compares the result of a call with what has run so far.
func (w *cluster) checkResult(key, body string, result *zyentry.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := result.Reply
	switch reply.Outcome {
	case zinniayoke.OutcomeDone:
		if reply.Response == nil || string(reply.Response.Body) != body {
			w.problemf("request %s got the response of another request: %+v", result.Request, reply.Response)
		}
	case zinniayoke.OutcomeNotRun:
		if n := w.oracle.runsByRequest[result.Request]; n > 0 {
			w.problemf("request %s got outcome notRun but ran %d times", result.Request, n)
		}
		ran, ok := w.oracle.lastRun["c\x00front/order\x00"+key]
		if key != "" && ok && time.Since(ran) < keyWindow {
			w.problemf("key %s got outcome notRun but had run %s before", key, time.Since(ran))
		}
	case zinniayoke.OutcomeUnknown:
	}
}

func (w *cluster) problemf(format string, args ...any) {
	w.oracle.problems = append(w.oracle.problems, fmt.Sprintf(format, args...))
}

// violations returns the violations found so far, or "".
func (w *cluster) violations() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	problems := slices.Concat(w.oracle.problems, w.oracle.duplicateRuns)
	for request, n := range w.oracle.sendsByRequest {
		if n > maxSends {
			problems = append(problems, fmt.Sprintf("request %s caused %d sends; %d are allowed", request, n, maxSends))
		}
	}
	return strings.Join(problems, "\n")
}

// crash stops a host abruptly and replaces it by a new one.
func (w *cluster) crash(h *host) {
	w.mu.Lock()
	h.dead = true
	w.oracle.faults++
	w.crashedAt[h.id] = time.Now()
	w.hosts = remove(w.hosts, h)
	w.mu.Unlock()
	w.add(h.service, h.locality.Domain)
}

func remove(list []*host, h *host) []*host {
	var rest []*host
	for _, other := range list {
		if other != h {
			rest = append(rest, other)
		}
	}
	return rest
}

// stop shuts a host down gracefully: it drains its work and transfers its key records.
func (w *cluster) stop(t rapid.TB, h *host) {
	w.mu.Lock()
	h.leaving = true
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := h.executor.Drain(ctx); err != nil {
		t.Fatalf("runs at the key owner were interrupted: %v", err)
	}
	if err := h.receiver.Drain(ctx); err != nil {
		t.Fatalf("calls were interrupted: %v", err)
	}
	successors := zyidempotency.SuccessorsOf(h.id, h.KeyOwners(h.locality.Domain))
	if len(successors) == 0 {
		w.crash(h)
		return
	}
	records, promises := h.promiseHandler.Grants.Export(time.Now())
	for _, id := range successors {
		w.find(id).promiseHandler.Grants.Import(time.Now(), records, promises)
	}
	w.mu.Lock()
	h.dead = true
	w.hosts = remove(w.hosts, h)
	w.mu.Unlock()
	w.add(h.service, h.locality.Domain)
}

// setPartition separates failure domain d1 from the others, or heals all partitions.
func (w *cluster) setPartition(separated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.hosts {
		partition := 0
		if separated && h.locality.Domain == "d1" {
			partition = 1
		}
		h.setPartition(partition)
	}
}

// isolateFirst partitions the first hosts from the others, regardless of failure domain.
func (w *cluster) isolateFirst(hosts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, h := range w.hosts {
		partition := 0
		if i < hosts {
			partition = 1
		}
		h.setPartition(partition)
	}
}

// pausedPartition is the partition of a paused host, which no other host can reach.
const pausedPartition = 9

// pause suspends a host's traffic for d; the other hosts consider it lost.
func (w *cluster) pause(h *host, d time.Duration) {
	resumed := make(chan struct{})
	w.mu.Lock()
	w.oracle.faults++
	h.paused = resumed
	h.setPartition(pausedPartition)
	w.mu.Unlock()
	w.active.Add(1)
	go func() {
		defer w.active.Done()
		time.Sleep(d)
		w.mu.Lock()
		h.paused = nil
		h.setPartition(0)
		w.mu.Unlock()
		close(resumed)
	}()
}

// freezeKeyOwner pauses the owner of a key while its grant is in transit, until
// the key window has passed and another request with the key has got its result.
func (w *cluster) freezeKeyOwner(first, second *host, key string) {
	home := zinniayoke.Domain("d0")
	slot := zyidempotency.SlotOf(home, zinniayoke.Key("c\x00front/order\x00"+key))
	owner := w.find(zyidempotency.OwnerOf(slot, first.KeyOwners(home)))
	if owner == nil {
		return
	}
	w.setSlow(1)
	w.send(first, key, "/order")
	time.Sleep(slowDelay / 2)
	w.pause(owner, keyWindow+2*time.Second)
	w.setSlow(0)
	time.Sleep(keyWindow + time.Second)
	w.send(second, key, "/order")
	time.Sleep(2 * time.Second)
}

func (w *cluster) setSlow(chance float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults.slow = chance
}

// shutDown heals all partitions, waits for calls in flight and stops the nodes.
func (w *cluster) shutDown() {
	w.setPartition(false)
	w.active.Wait()
	for _, h := range w.hostList() {
		h.receiver.Close()
	}
	w.timer.Stop()
}

// runRandom runs random operations on a cluster and returns the violations.
func runRandom(t *rapid.T, m mutation, steps, injected *int) string {
	w := newCluster(rapid.Uint64().Draw(t, "world"), m, defaultTimeout)
	announcing := w.timer.Every(time.Second, w.announceAll)
	defer announcing.Cancel()
	defer w.shutDown()
	anyHost := func() *host {
		hosts := w.hostList()
		return hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
	}
	anyKey := func() string { return fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key")) }
	rate := rapid.SampledFrom([]float64{0, 0, 0.1, 0.3})
	t.Repeat(map[string]func(*rapid.T){
		"order": func(t *rapid.T) { w.send(anyHost(), anyKey(), "/order") },
		"again": func(t *rapid.T) {
			key := anyKey()
			w.send(anyHost(), key, "/order")
			w.send(anyHost(), key, "/order")
		},
		"look": func(t *rapid.T) { w.send(anyHost(), anyKey(), "/look") },
		"wait": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"wires": func(t *rapid.T) {
			f := faults{
				loseRequest: rate.Draw(t, "loseRequest"), loseReply: rate.Draw(t, "loseReply"), late: rate.Draw(t, "late"),
				duplicate: rate.Draw(t, "duplicate"), swapReply: rate.Draw(t, "cross"), crashWorker: rate.Draw(t, "crashWorker"),
			}
			w.mu.Lock()
			w.faults = f
			w.mu.Unlock()
		},
		"crash":        func(t *rapid.T) { w.crash(anyHost()) },
		"stop":         func(t *rapid.T) { w.stop(t, anyHost()) },
		"part":         func(t *rapid.T) { w.setPartition(true) },
		"split":        func(t *rapid.T) { w.isolateFirst(rapid.IntRange(1, 5).Draw(t, "hosts")) },
		"heal":         func(t *rapid.T) { w.setPartition(false) },
		"freeze":       func(t *rapid.T) { w.pause(anyHost(), time.Duration(rapid.IntRange(1, 8).Draw(t, "s"))*time.Second) },
		"freezeKeeper": func(t *rapid.T) { w.freezeKeyOwner(anyHost(), anyHost(), anyKey()) },
		"": func(*rapid.T) {
			*steps++
			synctest.Wait()
		},
	})
	w.shutDown()
	*injected += w.oracle.faults
	return w.violations()
}

// TestGuarantees applies random operations and faults to the request path and
// compares what ran with the results that callers got. It guards against duplicate runs
// of a key, false notRun outcomes, responses of other requests and too many attempts.
func TestGuarantees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps, injected := 0, 0
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			if violation := runRandom(t, noMutation, &steps, &injected); violation != "" {
				t.Fatal(violation)
			}
		})
		t.Logf("%d steps, %d faults", steps, injected)
	})
}

// runFrozenKeyOwner pauses the owner of one key in an otherwise healthy cluster
// and returns the violations.
func runFrozenKeyOwner(m mutation, number int) string {
	w := newCluster(uint64(number), m, longTimeout)
	announcing := w.timer.Every(time.Second, w.announceAll)
	defer announcing.Cancel()
	hosts := w.hostList()
	w.freezeKeyOwner(hosts[1], hosts[3], fmt.Sprintf("k%d", number))
	w.shutDown()
	return w.violations()
}

// runLossyNetwork sends lookups over a network with heavy message loss, so that every
// hop retries, and returns the violations.
func runLossyNetwork(m mutation, number int) string {
	w := newCluster(uint64(number), m, longTimeout)
	announcing := w.timer.Every(time.Second, w.announceAll)
	defer announcing.Cancel()
	w.faults = faults{loseRequest: 0.4, loseReply: 0.4}
	for i, h := range w.hostList() {
		w.send(h, fmt.Sprintf("k%d", i), "/look")
		time.Sleep(time.Second)
	}
	w.shutDown()
	return w.violations()
}

const frozenKeys = 12

// TestFrozenKeyOwner guards against a duplicate run of a key: its owner is paused,
// loses the key's slot and then resumes with an outdated grant.
func TestFrozenKeyOwner(t *testing.T) {
	for number := range frozenKeys {
		synctest.Test(t, func(t *testing.T) {
			if violation := runFrozenKeyOwner(noMutation, number); violation != "" {
				t.Errorf("key %d: %s", number, violation)
			}
		})
	}
}

// TestLossyNetwork checks that the attempts of a request stay bounded when every hop
// retries.
func TestLossyNetwork(t *testing.T) {
	const runs = 30
	for number := range runs {
		synctest.Test(t, func(t *testing.T) {
			if violation := runLossyNetwork(noMutation, number); violation != "" {
				t.Errorf("run %d: %s", number, violation)
			}
		})
	}
}

// TestMutationsAreCaught checks that the tests can fail: with one safeguard
// disabled, a violation is found within a bounded number of runs.
func TestMutationsAreCaught(t *testing.T) {
	const maxRuns = 400
	steps, injected := 0, 0
	random := func(m mutation) func(int) string {
		generator := rapid.Custom(func(t *rapid.T) string { return runRandom(t, m, &steps, &injected) })
		return func(run int) string { return generator.Example(run) }
	}
	for _, c := range []struct {
		name  string
		check func(run int) string
		runs  int
	}{
		{"fence off", random(disableFence), maxRuns},
		{"token split off", func(run int) string { return runLossyNetwork(disableTokenSplit, run) }, maxRuns},
		{"reply check off", random(disableReplyCheck), maxRuns},
		{"epoch off", func(run int) string { return runFrozenKeyOwner(disableEpochCheck, run) }, frozenKeys},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				steps, injected = 0, 0
				for run := range c.runs {
					if violation := c.check(run); violation != "" {
						t.Logf("caught in run %d after %d steps: %s", run, steps, violation)
						return
					}
				}
				t.Fatalf("not caught in %d steps with %d faults", steps, injected)
			})
		})
	}
}
