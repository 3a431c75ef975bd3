// Command lovageslip-proxy runs a proxy host.
package main

import (
	"context"
	"log/slog"

	"lovageslip/daemon"
	"lovageslip/settings"
)

type command struct {
	Settings string `arg:"" help:"Settings file, see examples/." type:"existingfile"`
}

func (c *command) Run(ctx context.Context) error {
	s, err := settings.LoadProxy(c.Settings)
	if err != nil {
		return err
	}
	log := daemon.NewLog(s.Log)
	slog.SetDefault(log)
	return daemon.RunProxy(ctx, s, daemon.ProxyOptions{}, log)
}

func main() {
	daemon.Main("lovageslip-proxy", "Run a proxy host. SIGTERM shuts down gracefully; a second signal ends at once.", &command{})
}
