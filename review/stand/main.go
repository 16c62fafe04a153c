// Command stand runs the cases of the review: it plays the platform's store, the workers and
// the clients of a small deployment, and starts the nodes as processes of their own.
//
//	stand CASE ROOT RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var errUsage = errors.New("usage: stand CASE ROOT RECORD")

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"stray":   strayAnswer,
	"restart": leftWorker,
	"term":    cutBooking,
	"reuse":   reusedAddress,
	"memory":  heldBodies,
	"poison":  crashingRequest,
	"silent":  silentStore,
	"popular": popularRequest,
}

func run() (verdict, error) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		return verdict{}, errUsage
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		return verdict{}, err
	}
	defer func() { _ = file.Close() }()
	rec := &record{file: file, start: time.Now()}
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		return verdict{}, err
	}
	defer d.stop()
	return cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
}

func main() {
	v, err := run()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case v.broken:
		fmt.Println("BROKEN:", v.text)
		os.Exit(1)
	}
	fmt.Println("held:", v.text)
}
