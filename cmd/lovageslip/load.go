package main

import (
	"context"
	"os"
	"time"

	"lovageslip/fault"
	"lovageslip/loadgen"
)

type loadCommand struct {
	Target     []string          `help:"Addresses of proxies for callers, IP:port." default:"127.0.0.1:6432"`
	Database   string            `help:"Name of the database. The table load is created in it." default:"diary"`
	Profile    string            `help:"Mix of work: tahimik or pendragon." enum:"tahimik,pendragon" default:"tahimik"`
	Rate       float64           `help:"Mean requests a second, outside of the peak." default:"200"`
	Duration   time.Duration     `help:"Length of the run." default:"20s"`
	Service    time.Duration     `help:"How long the server works on each read." default:"2ms"`
	Peak       float64           `help:"Multiplies the rate for 5 s in the middle; 1 for none." default:"1"`
	Stragglers float64           `help:"Share of reads that take 100 times longer, 0 to 0.5." default:"0"`
	Class      map[string]string `help:"Class of a kind of work, for example read=reviewing." default:"read=reading;short=reading;list=reading;write=filing"`
	Sessions   int               `help:"Connections for each class." default:"64"`
	Seed       uint64            `help:"Fixes the schedule." default:"1"`
}

const (
	peakLength      = 5 * time.Second
	stragglerFactor = 100
	maxStragglers   = 0.5
)

func (c *loadCommand) Run(ctx context.Context) error {
	if c.Stragglers < 0 || c.Stragglers > maxStragglers {
		return &fault.Invalid{Field: "--stragglers", Allowed: "0 to 0.5"}
	}
	if err := loadgen.Setup(ctx, c.Target[0], c.Database); err != nil {
		return err
	}
	result, err := loadgen.Run(ctx, loadgen.Options{
		Targets:  c.Target,
		Database: c.Database,
		Profile:  c.profile(),
		Sessions: c.Sessions,
		Seed:     c.Seed,
	})
	if err != nil {
		return err
	}
	if err := result.WriteTable(os.Stdout); err != nil {
		return err
	}
	return result.WriteChart(os.Stdout)
}

func (c *loadCommand) profile() loadgen.Profile {
	profile := loadgen.Tahimik(c.Rate, c.Duration)
	if c.Profile == "pendragon" {
		profile = loadgen.PendragonLloyd(c.Rate, c.Duration)
	}
	for work, class := range c.Class {
		profile = profile.WithClass(work, class)
	}
	profile = profile.WithService("", c.Service)
	if c.Stragglers > 0 {
		profile = profile.WithStragglers(c.Stragglers, stragglerFactor, c.Service)
	}
	if c.Peak > 1 {
		profile = profile.WithPeak(c.Duration/2-peakLength/2, peakLength, c.Peak)
	}
	return profile
}
