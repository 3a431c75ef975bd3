// Command lovageslip-site runs a proxy or a control host of a site on the users'
// platform. It takes its settings from the platform's file.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"lovageslip/logging"
	"lovageslip/platform"
)

type command struct {
	Proxy   proxyCommand   `cmd:"" help:"Serve callers."`
	Control controlCommand `cmd:"" help:"Keep the site's configuration and change primaries."`
	Check   checkCommand   `cmd:"" help:"Check the settings file and exit."`
}

type proxyCommand struct{}

func (proxyCommand) Run(log *slog.Logger) error {
	return platform.RunProxy(context.Background(), log)
}

type controlCommand struct{}

func (controlCommand) Run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return platform.RunControl(ctx, log)
}

type checkCommand struct{}

func (checkCommand) Run(log *slog.Logger) error {
	_, err := platform.LoadSettings()
	return err
}

func main() {
	out := logging.NewBoundedWriter(os.Stdout)
	log := logging.New(out, slog.LevelInfo, logging.FormatJSON)
	// Libraries that log through the packages log and slog then write to it
	// as well.
	slog.SetDefault(log)
	parsed := kong.Parse(&command{}, kong.Name("lovageslip-site"),
		kong.Description("Run a host of a site. "+platform.SettingsVariable+" names its settings file."),
		kong.Bind(log), kong.UsageOnError())
	err := parsed.Run()
	if err != nil {
		log.Error("process failed", "error", err)
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}
