package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lovageslip/logging"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// Exit codes of the daemons.
const (
	ExitFailure  = 1
	ExitUsage    = 2
	ExitSettings = 5
	exitSignal   = 130
)

// NewLog returns a logger that writes to standard error.
func NewLog(s settings.Log) *slog.Logger {
	return logging.New(os.Stderr, s.Level, s.Format)
}

// Main parses the command line into command, which has a method
// Run(context.Context) error, and runs it. The context ends at the first
// SIGINT or SIGTERM; the second signal ends the process at once.
func Main(name, description string, command any) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(exitSignal)
	}()
	parser := kong.Must(command, kong.Name(name), kong.Description(description),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.UsageOnError())
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(ExitUsage)
	}
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, name+":", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var problems settings.Problems
	var badFile *tlsconf.BadFile
	if errors.As(err, &problems) || errors.As(err, &badFile) {
		return ExitSettings
	}
	return ExitFailure
}
