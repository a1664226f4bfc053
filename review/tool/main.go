// Program reviewcase runs one case of the review: the project's gateway as a process of its own,
// between stand-ins of the platform's store, of servers and of clients in this process.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var (
	recordMu sync.Mutex
	record   *os.File
	began    = time.Now()
)

// note writes a line with the time since the start to record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

var cleanups []func()

// finish ends all processes of the case and this one.
func finish(code int) {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

func fail(format string, args ...any) {
	note("NOT RUN: "+format, args...)
	fmt.Printf("not run: "+format+"\n", args...)
	finish(exitNotRun)
}

// verdict ends a case.
func verdict(broken bool, format string, args ...any) {
	text := "HELD: "
	code := exitHeld
	if broken {
		text, code = "BROKEN: ", exitBroken
	}
	text += fmt.Sprintf(format, args...)
	note("%s", text)
	fmt.Println(text)
	finish(code)
}

// disrupted is false with TROUBLE=0: the case then runs without its disruption.
var disrupted = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(dir string){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: reviewcase NAME, in the folder of the case")
		os.Exit(exitNotRun)
	}
	var err error
	if record, err = os.Create("record.txt"); err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	if os.Getenv("KEEP") == "" {
		cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println(dir)
	}
	note("disruption: %v", disrupted)
	time.AfterFunc(110*time.Second, func() { fail("time is up") })
	cases[os.Args[1]](dir)
}
