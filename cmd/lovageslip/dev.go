package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"lovageslip/daemon"
	"lovageslip/logging"
)

type devCommand struct {
	Callers  string        `help:"Address for callers." default:"127.0.0.1:6432"`
	Hosts    string        `help:"Address for hosts and announcements." default:"127.0.0.1:7432"`
	Control  string        `help:"Address of the control host." default:"127.0.0.1:7001"`
	Metrics  string        `help:"Address for metrics and health." default:"127.0.0.1:9432"`
	Database string        `help:"Name of the database." default:"diary"`
	Lag      time.Duration `help:"Replication lag of the stand-in upstreams." default:"30ms"`
	Verbose  bool          `help:"Log what the parts do."`
}

const devReadyText = `lovageslip is ready. Classes: filing, reading, reviewing. Try:

  psql "host=%s port=%s dbname=%s user=me sslmode=disable"
    SET lovageslip.class = 'filing';
    CREATE TABLE entries (id INTEGER PRIMARY KEY, note TEXT);
    INSERT INTO entries VALUES (1, 'drumming after midnight');
    SET lovageslip.class = 'reading';
    SELECT * FROM entries;       -- from a replica, and it has your write
    SHOW lovageslip.session;     -- carry this token to another proxy

  lovageslip status
  lovageslip class set reading --wait 1s --age 2s

Stop with Ctrl-C.
`

func (c *devCommand) Run(ctx context.Context) error {
	level := slog.LevelWarn
	if c.Verbose {
		level = slog.LevelInfo
	}
	return daemon.RunDev(ctx, daemon.DevOptions{
		Callers:  c.Callers,
		Hosts:    c.Hosts,
		Control:  c.Control,
		Metrics:  c.Metrics,
		Database: c.Database,
		Lag:      c.Lag,
		Log:      logging.New(os.Stderr, level, logging.FormatText),
		Ready: func() {
			host, port, _ := net.SplitHostPort(c.Callers)
			fmt.Printf(devReadyText, host, port, c.Database)
		},
	})
}
