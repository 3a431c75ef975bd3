package integration

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/admin"
	"lovageslip/class"
)

const (
	configChanges = 500
	// configDelayLimit is the longest time from the acceptance of a change until
	// every proxy has applied it.
	configDelayLimit = 11 * time.Second
	changingClass    = "moving"
	// changePause spaces out the changes, so that proxies also apply versions
	// between the first and the last one.
	changePause = 25 * time.Millisecond
)

// classForChange returns the class changingClass with a wait that encodes the
// number of the change, so that tests can read the number from a proxy's
// metrics.
func classForChange(change int) class.Class {
	return class.Class{Name: changingClass, Wait: time.Second + time.Duration(change)*time.Millisecond}
}

// appliedChange returns the number of the change of changingClass that is in
// force on a proxy, and false if the proxy doesn't answer or doesn't have the
// class.
func (s *site) appliedChange(proxy int) (change int, applied bool) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.metricsAddresses[proxy] + "/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		line := lines.Text()
		if strings.HasPrefix(line, "lovageslip_member_class_wait_seconds{") && strings.Contains(line, `class="`+changingClass+`"`) {
			wait := parseNumber(line[strings.LastIndexByte(line, ' ')+1:])
			// A gauge is zero until the first report after its creation.
			return int((wait-1)*1000 + 0.5), wait != 0
		}
	}
	return 0, false
}

// appliedChanges holds the number of the last change that was seen in force on a
// proxy, and when each change, or a later one, was first seen.
type appliedChanges struct {
	lastSeen  int
	firstSeen map[int]time.Time
}

// watchAppliedChanges polls a proxy's applied change until stop is closed. It
// fails the test if the proxy goes back to an older change, also across a
// restart.
func (s *site) watchAppliedChanges(stop <-chan struct{}, proxy int, seen *appliedChanges) {
	for !closed(stop) {
		change, applied := s.appliedChange(proxy)
		now := time.Now()
		if applied && change < seen.lastSeen {
			s.t.Errorf("proxy-%d went back from change %d to %d", proxy+1, seen.lastSeen, change)
			return
		}
		for ; applied && seen.lastSeen < change; seen.lastSeen++ {
			seen.firstSeen[seen.lastSeen+1] = now
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// changeUntilAnswered sends a change, and resends it with the same change id
// until a control host answers.
func (s *site) changeUntilAnswered(client *admin.Client, change admin.Change) (uint64, error) {
	var version uint64
	var answer error
	s.await("answer to change "+change.ChangeID, func(ctx context.Context) error {
		version, answer = client.ChangeClass(ctx, change)
		var unreachable *admin.Unreachable
		if errors.As(answer, &unreachable) {
			return answer
		}
		return nil
	})
	return version, answer
}

// classVersion returns the version of the classes by a quorum read.
func (s *site) classVersion() uint64 {
	s.t.Helper()
	var version uint64
	s.await("classes", func(ctx context.Context) error {
		classes, err := s.admin.ListClasses(ctx)
		version = classes.GetVersion()
		return err
	})
	return version
}

// changeClass makes a change of changingClass and returns the new version. It
// resends every 25th change, which must get the same answer.
func (s *site) changeClass(version uint64, change int) uint64 {
	s.t.Helper()
	c := admin.Change{ChangeID: fmt.Sprintf("change-%d", change), Expected: version, Class: classForChange(change), Operator: "one"}
	next, err := s.changeUntilAnswered(s.admin, c)
	assert.NilError(s.t, err)
	assert.Equal(s.t, next, version+1)
	if change%25 == 0 {
		again, err := s.changeUntilAnswered(s.admin, c)
		assert.NilError(s.t, err)
		assert.Equal(s.t, again, next, "%s was resent", c.ChangeID)
	}
	return next
}

// raceChange lets two operators change the same version at the same time. One
// must succeed, and the other must get a conflict that names the winner.
func (s *site) raceChange(version uint64, change int) uint64 {
	s.t.Helper()
	var versions [2]uint64
	var errs [2]error
	var operators sync.WaitGroup
	for i := range 2 {
		c := admin.Change{
			ChangeID: fmt.Sprintf("change-%d-of-%d", change, i), Expected: version, Class: classForChange(change), Operator: fmt.Sprint(i),
		}
		operators.Go(func() { versions[i], errs[i] = s.changeUntilAnswered(s.admin, c) })
	}
	operators.Wait()
	won := 0
	if errs[0] != nil {
		won = 1
	}
	assert.NilError(s.t, errs[won])
	var conflict *admin.Conflict
	assert.Assert(s.t, errors.As(errs[1-won], &conflict), "the other operator got %v", errs[1-won])
	assert.Equal(s.t, conflict.Winner.GetChangeId(), fmt.Sprintf("change-%d-of-%d", change, won))
	assert.Equal(s.t, versions[won], version+1)
	return versions[won]
}

// Guards against a control host or proxy that goes back to an older configuration
// when hosts are killed and restarted.
func TestConfigurationNeverReverts(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3})
	applied := make([]*appliedChanges, len(s.proxies))
	stop := make(chan struct{})
	var samplers sync.WaitGroup
	end := sync.OnceFunc(func() { close(stop); samplers.Wait() })
	t.Cleanup(end)
	for i := range s.proxies {
		applied[i] = &appliedChanges{firstSeen: map[int]time.Time{}}
		samplers.Go(func() { s.watchAppliedChanges(stop, i, applied[i]) })
	}
	accepted := map[int]time.Time{}
	version := s.classVersion()
	for change := 1; change <= configChanges; change++ {
		if change%60 == 0 {
			s.controls[change/60%3].restart()
		}
		if change%60 == 30 {
			s.proxies[change/60%3].restart()
		}
		if change%40 == 0 {
			version = s.raceChange(version, change)
		} else {
			version = s.changeClass(version, change)
		}
		accepted[change] = time.Now()
		time.Sleep(changePause)
	}
	s.await("the last change is in force on all proxies", func(context.Context) error {
		for i := range s.proxies {
			if change, _ := s.appliedChange(i); change != configChanges {
				return fmt.Errorf("proxy-%d has change %d in force", i+1, change)
			}
		}
		return nil
	})
	time.Sleep(200 * time.Millisecond) // lets the samplers see the last change
	end()
	assert.Equal(t, s.classVersion(), version)
	s.assertAppliedInTime(accepted, applied)
}

func (s *site) assertAppliedInTime(accepted map[int]time.Time, applied []*appliedChanges) {
	s.t.Helper()
	var times []time.Duration
	for change, at := range accepted {
		var longest time.Duration
		for i, a := range applied {
			seen, ok := a.firstSeen[change]
			assert.Assert(s.t, ok, "change %d was not seen on proxy-%d", change, i+1)
			longest = max(longest, seen.Sub(at))
		}
		times = append(times, longest)
	}
	slices.Sort(times)
	n := len(times)
	s.t.Logf("time until all proxies applied an accepted change: p50 %s, p90 %s, p99 %s, max %s", times[n/2], times[n*9/10], times[n*99/100], times[n-1])
	assert.Assert(s.t, times[n-1] < configDelayLimit)
}
