// Command standin runs one case of the second review: it starts a store, servers and clients as
// stand-ins, and the project's own gateways as processes.
//
// Usage: standin CASE REPOSITORY RECORD. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 115 * time.Second

var cases = map[string]func(p *platform, trouble bool) (broken bool, err error){
	"crowd":  crowd,
	"gone":   gone,
	"denied": denied,
	"silent": silent,
	"stop":   stop,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		return 2
	}
	p, err := newPlatform(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer p.close()
	trouble := os.Getenv("TROUBLE") != "0"
	p.logf("case %s, trouble %v", os.Args[1], trouble)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[os.Args[1]](p, trouble)
		done <- outcome{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case o := <-done:
		switch {
		case o.err != nil:
			p.logf("could not run: %v", o.err)
			return 2
		case o.broken:
			p.logf("the rule was broken")
			return 1
		}
		p.logf("the rule held")
		return 0
	case <-signals:
		p.logf("ended by a signal")
	case <-time.After(maxTime):
		p.logf("could not run: it took too long")
	}
	return 2
}
