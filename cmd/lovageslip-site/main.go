// Command lovageslip-site runs a proxy or a control host of a site on the users'
// platform. It takes its settings from the platform's file.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/alecthomas/kong"

	"lovageslip/logging"
	"lovageslip/platform"
)

type command struct {
	Proxy   proxyCommand   `cmd:"" help:"Serve callers."`
	Control controlCommand `cmd:"" help:"Keep the site's configuration and change primaries."`
	Check   checkCommand   `cmd:"" help:"Check the settings file, or a configuration before it is sent, and exit."`
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

type checkCommand struct {
	Config  string `help:"Check this configuration before it is sent, instead of the settings." placeholder:"FILE"`
	Against string `help:"Show what differs from the configuration in this file." xor:"in-force" placeholder:"FILE"`
	InForce string `help:"Show what differs from the configuration that a control host has." xor:"in-force" placeholder:"URL"`
	JSON    bool   `name:"json" help:"Print the result as JSON."`
}

// Exit codes of a check of a configuration.
const (
	exitFindings   = 1
	exitUnreadable = 2
)

// exitError ends the process with a code of its own. err is logged unless it is nil.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return "exit code " + strconv.Itoa(e.code) }

func (e *exitError) Unwrap() error { return e.err }

func (c checkCommand) Run(*slog.Logger) error {
	if c.Config == "" {
		_, err := platform.LoadSettings()
		return err
	}
	report, err := platform.CheckConfig(platform.ConfigSources{File: c.Config, Against: c.Against, InForce: c.InForce})
	if err != nil {
		return &exitError{exitUnreadable, err}
	}
	if err := c.print(report); err != nil {
		return &exitError{exitUnreadable, err}
	}
	if !report.Clean() {
		return &exitError{code: exitFindings}
	}
	return nil
}

func (c checkCommand) print(report *platform.ConfigReport) error {
	if !c.JSON {
		return report.WriteText(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(report)
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
	code := 0
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		code, err = exit.code, exit.err
	case err != nil:
		code = 1
	}
	if err != nil {
		log.Error("process failed", "error", err)
	}
	out.Close()
	os.Exit(code)
}
