// Command review-rig-2 plays the scripts of the second review: it starts control hosts and
// proxies with the commands of the deploy file, beside stand-ins for the operator, the
// backends, the clients and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// play plays a case. It returns whether the rule was broken, and an error if the case could
// not run.
type play func(d *deployment, trouble bool) (bool, error)

var plays = map[string]play{"first-start": firstStart, "clock-back": clockBack, "settings-change": settingsChange, "large-values": largeValues}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/lovageslip-site", "the project's program")
	trouble := flag.Bool("trouble", true, "play the disruption")
	recordFile := flag.String("record", "record.txt", "the file to write what happened to")
	flag.Parse()
	os.Exit(run(*name, *program, *recordFile, *trouble))
}

func run(name, program, recordFile string, trouble bool) int {
	file, err := os.Create(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	r := &record{file: file, begun: time.Now()}
	folder, err := os.MkdirTemp("", "review-rig-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(folder)
	p, ok := plays[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return cannotRun
	}
	d, err := newDeployment(program, folder, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer d.stop()
	r.add("case %s, disruption %v", name, trouble)
	wasBroken, err := p(d, trouble)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return cannotRun
	case wasBroken:
		r.add("the rule was broken")
		return broken
	default:
		r.add("the rule held")
		return held
	}
}

// all returns what the operator's list names.
func all(hosts ...int) func() []int { return func() []int { return hosts } }
