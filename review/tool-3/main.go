//go:build review

// Command tool-3 plays the cases of the third review: it starts the gateway of the deploy file as
// separate processes against small stand-ins of the platform's store, servers and clients, and
// judges what clients and servers have seen.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime bounds a case: a run that takes longer has failed.
const maxRunTime = 110 * time.Second

// options are the command line of a case.
type options struct {
	program string
	trouble bool
}

// cases holds the cases by number.
var cases = map[int]func(*run) error{}

// run is one run of a case.
type run struct {
	options
	dir   string
	began time.Time

	// mu guards the fields below.
	mu     sync.Mutex
	record *os.File
	closed []func()
	broken []string
}

// note writes a line to the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// breaks records that a rule was broken.
func (r *run) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// atEnd calls f when the run ends.
func (r *run) atEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = append(r.closed, f)
}

// end ends all that the run has started.
func (r *run) end() {
	r.mu.Lock()
	closed := r.closed
	r.closed = nil
	r.mu.Unlock()
	for i := len(closed) - 1; i >= 0; i-- {
		closed[i]()
	}
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		os.Exit(serveEngine(os.Args[2:]))
	}
	number := flag.Int("case", 0, "number of the case")
	program := flag.String("program", "target/nutmegroute-gateway", "path of the gateway")
	record := flag.String("record", "record.txt", "path of the record")
	trouble := flag.String("trouble", "1", "0 leaves the disruption out")
	flag.Parse()
	os.Exit(play(*number, *program, *record, *trouble != "0"))
}

// play runs a case and returns its exit code.
func play(number int, program, record string, trouble bool) int {
	run, err := newRun(options{program, trouble}, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer run.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	play, known := cases[number]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	ended := make(chan error, 1)
	go func() { ended <- play(run) }()
	select {
	case err = <-ended:
	case <-stopped:
		err = fmt.Errorf("stopped by a signal")
	case <-time.After(maxRunTime):
		err = fmt.Errorf("not ended after %v", maxRunTime)
	}
	if err != nil {
		run.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	if len(run.broken) > 0 {
		for _, text := range run.broken {
			fmt.Println("broken:", text)
		}
		return exitBroken
	}
	run.note("held")
	fmt.Println("held")
	return exitHeld
}

func newRun(o options, record string) (*run, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &run{options: o, dir: dir, began: time.Now(), record: file}
	r.atEnd(func() { _ = os.RemoveAll(dir); _ = file.Close() })
	return r, nil
}
