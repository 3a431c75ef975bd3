// Command _rig3 plays the cases of the third review that are scripts. It starts the
// project's own programs as processes, on loopback addresses and the real clock, between
// stand-ins for clients, backends and the platform.
//
// Usage: rig CASE PROGRAM RECORD. TROUBLE=0 leaves the disruption out. It exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit bounds a run, which ends as one that could not run after that.
const runLimit = 108 * time.Second

// cases are the scripts by name.
var cases = map[string]func(program string, trouble bool, rec *recorder) (broken bool, err error){
	"sync-release": syncRelease,
	"sync-cut":     syncCut,
	"sync-ended":   syncEnded,
	"set-commit":   setCommit,
	"slow-readers": slowReaders,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go endAtLimit(rec)
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0", rec)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	default:
		rec.add("the rule held")
		return exitHeld
	}
}

// endAtLimit ends the run and the processes that it has started at its limit, or at a
// signal.
func endAtLimit(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(runLimit):
	}
	rec.add("could not run: not finished in time, or ended by a signal")
	rec.close()
	if s := started.Load(); s != nil {
		s.stop()
	}
	fmt.Println("could not run: not finished in time, or ended by a signal")
	os.Exit(exitNotRun)
}
