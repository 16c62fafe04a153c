package zylogger_test

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"testing"
	"time"

	"zinniayoke"
	"zinniayoke/io/zylogger"
)

// TestFieldsAreDocumented checks that the tables in docs/OPERATIONS.md list every field
// of a line and every kind of event.
func TestFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([a-zA-Z, ]+) \|`).FindAllSubmatch(page, -1) {
		for _, name := range regexp.MustCompile(`[a-zA-Z]+`).FindAllString(string(row[1]), -1) {
			documented[name] = true
		}
	}
	var out bytes.Buffer
	rate := zinniayoke.Rate(1)
	zylogger.NewEventLog(&out, func() int64 { return 0 }).Record(&zinniayoke.Event{
		Kind: zinniayoke.EventCallEnded, Request: "r", Parent: "p", Attempt: "a", Route: "ro", Service: "s", Customer: "c", Node: "n", Instance: "i",
		Reason: zinniayoke.ReasonShed, Outcome: zinniayoke.OutcomeNotRun, Version: 1, Rank: 1, Threshold: 1, Depth: 1, Status: 1,
		TimeLeft: time.Second, QueueTime: time.Second, Duration: time.Second, Limit: 1, Running: 1, Waiting: 1, RateLimit: &rate, DeliveryRate: 1, Leaving: true, WillRetry: true, Detail: "d",
	})
	var fields map[string]any
	if err := json.Unmarshal(out.Bytes(), &fields); err != nil {
		t.Fatal(err)
	}
	if fields["customer"] != "c" {
		t.Errorf("the line has the customer %v", fields["customer"])
	}
	for name := range fields {
		if !documented[name] {
			t.Errorf("field %s is not documented", name)
		}
	}
	for _, kind := range zinniayoke.EventKindValues() {
		if !documented[kind.String()] {
			t.Errorf("event %s is not documented", kind)
		}
	}
}
