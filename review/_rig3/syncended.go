package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// deafPeriod is how long a replica receives nothing, and primaryDownPeriod how long
	// the primary is down that crashes meanwhile.
	deafPeriod        = 6 * time.Second
	primaryDownPeriod = 7 * time.Second
	// deafBefore is how long before the end of the leaving replica the other one begins
	// to receive nothing.
	deafBefore = 3 * time.Second
	// leaderStopAfter and crashAfter are the times from the end of the leaving replica to
	// the planned stop of the leading control host and to the crash of the primary.
	leaderStopAfter = 100 * time.Millisecond
	crashAfter      = 400 * time.Millisecond
	// successorAfter is when another backend starts at the address of the replica that
	// has ended, with its log.
	successorAfter = 3 * time.Second
)

// syncEnded plays a service with one synchronous replica. A replica is replaced as planned.
// Shortly before it ends the other one receives nothing for a while, and the primary crashes
// meanwhile. At the same time the leading control host is stopped and started as planned.
// Every filing that was acknowledged must be in the log of the backend that is promoted.
// KEEP_LEADER=1 leaves the stop of the control host out, for comparison.
func syncEnded(program string, trouble bool, rec *recorder) (bool, error) {
	zones[controlWord], zones["proxy"] = "a1", "a1"
	g, s, primary, err := startLedger(program, rec)
	if err != nil {
		return false, err
	}
	defer s.stop()
	f := &filings{site: s, rec: rec, pause: 20 * time.Millisecond, acked: map[string]bool{}}
	if err := f.awaitService(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.file("steady", 4, 30*time.Second)
	}()
	time.Sleep(time.Second)
	leaving, other := g.backends[1], g.backends[2]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		leaving.drain(drainPeriod)
	}()
	if trouble {
		time.AfterFunc(drainPeriod+drainExtra-deafBefore, func() {
			other.setDeaf(true)
			time.AfterFunc(deafPeriod, func() { other.setDeaf(false) })
		})
	}
	<-ended
	time.AfterFunc(successorAfter, func() {
		if _, err := g.add(leaving.id+"-new", leaving.zone, leaving.address, false, leaving.log); err != nil {
			rec.add("no successor: %v", err)
		}
	})
	if trouble {
		time.AfterFunc(crashAfter, func() {
			primary.crash()
			time.AfterFunc(primaryDownPeriod, primary.restart)
		})
	}
	time.Sleep(leaderStopAfter)
	if os.Getenv("KEEP_LEADER") != "1" {
		if err := s.restartLeader(other); err != nil {
			return false, err
		}
	}
	<-done
	time.Sleep(2 * time.Second)
	return f.missing(g), nil
}

// restartLeader stops and starts the leading control host, which the control hosts name to
// backends as the address of their next heartbeats.
func (s *site) restartLeader(b *backend) error {
	host, _, _ := strings.Cut(b.nextHeartbeat(), ":")
	for _, c := range s.controls {
		if c.ip != host {
			continue
		}
		s.rec.add("%s gets SIGTERM", c.name())
		c.signal(syscall.SIGTERM)
		select {
		case <-c.exited:
		case <-time.After(6 * time.Second):
			c.signal(syscall.SIGKILL)
			<-c.exited
		}
		time.Sleep(300 * time.Millisecond)
		return c.start(false)
	}
	return fmt.Errorf("no control host leads")
}
