package zynode_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"zinniayoke/core/zybundle"
	"zinniayoke/core/zywhere"
	"zinniayoke/io/zynode"
)

// getAdmin gets a path of the admin port.
func (s *cluster) getAdmin(n *zynode.Node, path string) (int, []byte) {
	s.t.Helper()
	resp, err := http.Get("http://" + n.Addresses().Admin + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, body
}

// lastingState reads /debug/state without what changes by itself: the traffic and memory of
// the process.
func (s *cluster) lastingState(n *zynode.Node) zynode.State {
	s.t.Helper()
	var state zynode.State
	if _, body := s.getAdmin(n, "/debug/state"); json.Unmarshal(body, &state) != nil {
		s.t.Fatalf("state of the node: %s", body)
	}
	state.Control = zynode.ControlPlaneState{}
	return state
}

// TestWhere queries a node in both balancing modes. It guards against queries that change the
// state of the node or reach the worker, and against responses that contain a key.
func TestWhere(t *testing.T) {
	s := newCluster(t)
	n := s.add("first")
	if status, body := s.getAdmin(n, "/debug/where?host=shop.example&path=/x"); status != http.StatusServiceUnavailable {
		t.Errorf("without a bundle: %d %s", status, body)
	}
	calls := make(chan string, 100)
	s.worker(n, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.Path
		respond(w, r)
	}))
	for version, even := range []bool{false, true} {
		text := strings.Replace(string(bundleText(version+1)), "anonymous = true", fmt.Sprintf("anonymous = true\nevenLoad = %t", even), 1)
		text += fmt.Sprintf("[route web]\nhost = shop.example\nprefix = /\nservice = s\nclass = c\nattempts = 3\n"+
			"[customer mill]\nkeyHashes = %x\nrate = 50/s\nburst = 20\n", zybundle.HashKey("secret"))
		s.rollOut([]byte(text))
		s.waitFor("the bundle is in force and the worker known", func() bool { return versionOf(n) == version+1 && n.ServingWorkers() == 1 })
		s.waitFor("the owner of the customer grants and its bucket is full", func() bool {
			earlier := s.lastingState(n)
			time.Sleep(300 * time.Millisecond) // Longer than the period in which limits are updated.
			return earlier.CustomerLimits.Share > 0 && reflect.DeepEqual(earlier, s.lastingState(n))
		})
		before := s.lastingState(n)
		for _, c := range []struct {
			query  string
			status int
		}{
			{"host=shop.example&path=/x&customer=mill", http.StatusOK},
			{"host=shop.example&path=/x&method=POST", http.StatusOK},
			{"host=other.example&path=/x", http.StatusNotFound},
			{"path=/x", http.StatusBadRequest},
			{"host=shop.example&path=x", http.StatusBadRequest},
			{"host=shop.example&path=/x&path=/y", http.StatusBadRequest},
			{"host=shop.example&path=/x&key=secret", http.StatusBadRequest},
			{"host=shop.example&path=/x&customer=secret", http.StatusBadRequest},
			{"host=shop.example&path=%zz", http.StatusBadRequest},
		} {
			status, body := s.getAdmin(n, "/debug/where?"+c.query)
			if status != c.status || strings.Contains(string(body), "secret") || strings.Contains(string(body), fmt.Sprintf("%x", zybundle.HashKey("secret"))) {
				t.Errorf("%s: %d %s, want %d without a key", c.query, status, body, c.status)
			}
			var a zywhere.Answer
			if status == http.StatusOK && (json.Unmarshal(body, &a) != nil || a.EvenLoad != even || len(a.Parts) != 1 || a.Parts[0].Choice != n.ID()) {
				t.Errorf("%s: %s, want the worker of the node", c.query, body)
			}
		}
		if after := s.lastingState(n); !reflect.DeepEqual(before, after) {
			t.Errorf("even load %t: the state before queries is %+v, after them %+v", even, before, after)
		}
	}
	if len(calls) > 0 {
		t.Errorf("the worker got %d calls", len(calls))
	}
}
