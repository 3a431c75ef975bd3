// Command lovageslip is the operators' command-line tool. It checks settings
// files, changes and lists classes and control hosts, shows the state and the
// history of the system, runs a trial system on loopback and generates load.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lovageslip/admin"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// Exit codes, by which shell scripts tell failures apart.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnreachable = 4
	exitRejected    = 5
)

const description = `Operate lovageslip, a database proxy with session consistency.

Examples:
  lovageslip dev
  lovageslip check /etc/lovageslip/proxy.ini
  lovageslip class set filing --wait 10s --age 0s
  lovageslip class set reading --wait 2s --age 5s --dry-run
  lovageslip class list --json
  lovageslip status
  lovageslip history --limit 20

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another change came first,
4 no control host answered, 5 not a valid change or settings file.`

type commands struct {
	Dev     devCommand     `cmd:"" help:"Run a control host, a proxy and three stand-in upstreams on loopback."`
	Check   checkCommand   `cmd:"" help:"Check a settings file whole and report every mistake."`
	Class   classCommand   `cmd:"" help:"State the targets of classes of work."`
	Status  statusCommand  `cmd:"" help:"Show hosts, upstreams, owners and groups."`
	History historyCommand `cmd:"" help:"Show accepted changes, newest first."`
	Member  memberCommand  `cmd:"" help:"List, add and remove control hosts."`
	Load    loadCommand    `cmd:"" help:"Run an open-loop load and print the waits that callers saw."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	parser := kong.Must(&commands{},
		kong.Name("lovageslip"),
		kong.Description(description),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.UsageOnError())
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "lovageslip:", err)
		os.Exit(exitUsage)
	}
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "lovageslip:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var conflict *admin.Conflict
	var unreachable *admin.Unreachable
	var rejected *admin.Rejected
	var problems settings.Problems
	var badFile *tlsconf.BadFile
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &unreachable):
		return exitUnreachable
	case errors.As(err, &rejected), errors.As(err, &problems), errors.As(err, &badFile):
		return exitRejected
	}
	return exitFailure
}
