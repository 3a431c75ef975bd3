// Command lovageslip-control runs a control host.
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
	s, err := settings.LoadControl(c.Settings)
	if err != nil {
		return err
	}
	log := daemon.NewLog(s.Log)
	slog.SetDefault(log)
	return daemon.RunControl(ctx, s, nil, log)
}

func main() {
	daemon.Main("lovageslip-control", "Run a control host.", &command{})
}
