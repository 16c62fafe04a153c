package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"
)

// verdict is how a case has ended; the values are those of the exit status.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

// caseFunc runs a case, with the disruption or without it.
type caseFunc func(rec *record, dir string, trouble bool) (verdict, error)

var cases = map[string]caseFunc{
	"leave":  runLeave,
	"grey":   runGrey,
	"freeze": runFreeze,
	"bodies": runBodies,
	"writer": runWriter,
}

func main() {
	v, err := run()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(int(v))
}

func run() (verdict, error) {
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	dir := flag.String("dir", "", "temporary folder for settings and logs")
	flag.Parse()
	f, ok := cases[flag.Arg(0)]
	if !ok || *dir == "" {
		return notRun, errors.New("usage: stand-3 --record FILE --dir DIR CASE")
	}
	out, err := os.Create(*file)
	if err != nil {
		return notRun, fmt.Errorf("record: %w", err)
	}
	defer func() { _ = out.Close() }()
	rec := newRecord(io.Writer(out))
	trouble := os.Getenv("TROUBLE") != "0"
	rec.addf("case %s, disruption: %t", flag.Arg(0), trouble)
	time.AfterFunc(110*time.Second, func() {
		rec.addf("not ended in time")
		os.Exit(int(notRun))
	})
	v, err := f(rec, *dir, trouble)
	if err != nil {
		rec.addf("the case could not run: %v", err)
		return notRun, err
	}
	rec.addf("result: %s", [...]string{"the rule held", "the rule was broken", "not run"}[v])
	return v, nil
}
