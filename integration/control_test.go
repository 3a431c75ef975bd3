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
	// configWithin is the longest time from acceptance of a change until every
	// proxy holds it.
	configWithin = 11 * time.Second
	movingClass  = "moving"
	// changePause spreads the changes, so that proxies hold states between them.
	changePause = 25 * time.Millisecond
)

// moving returns a class whose wait tells which change of a test it is.
func moving(change int) class.Class {
	return class.Class{Name: movingClass, Wait: time.Second + time.Duration(change)*time.Millisecond}
}

// heldChange returns which change of the moving class a proxy holds, and false
// if the proxy does not answer or holds none.
func (s *site) heldChange(proxy int) (change int, held bool) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + s.metrics[proxy] + "/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		line := lines.Text()
		if strings.HasPrefix(line, "lovageslip_member_class_wait_seconds{") && strings.Contains(line, `class="`+movingClass+`"`) {
			wait := number(line[strings.LastIndexByte(line, ' ')+1:])
			// A gauge is zero until the first report after its creation.
			return int((wait-1)*1000 + 0.5), wait != 0
		}
	}
	return 0, false
}

// holding is when a proxy was first seen to hold each change.
type holding struct {
	last  int
	first map[int]time.Time
}

// watchHeld samples a proxy until stop is closed. A proxy that holds an older
// change after a newer one fails the test, also across a restart.
func (s *site) watchHeld(stop <-chan struct{}, proxy int, h *holding) {
	for !closed(stop) {
		change, held := s.heldChange(proxy)
		now := time.Now()
		if held && change < h.last {
			s.t.Errorf("proxy-%d went back from change %d to %d", proxy+1, h.last, change)
			return
		}
		for ; held && h.last < change; h.last++ {
			h.first[h.last+1] = now
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// changeUntilKnown sends a change again with its id until it has an answer.
func (s *site) changeUntilKnown(client *admin.Client, change admin.Change) (uint64, error) {
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

// classVersion returns the version of the classes that a quorum holds.
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

func (s *site) changeMoving(version uint64, change int) uint64 {
	s.t.Helper()
	c := admin.Change{ChangeID: fmt.Sprintf("change-%d", change), Expected: version, Class: moving(change), Operator: "one"}
	next, err := s.changeUntilKnown(s.admin, c)
	assert.NilError(s.t, err)
	assert.Equal(s.t, next, version+1)
	if change%25 == 0 {
		again, err := s.changeUntilKnown(s.admin, c)
		assert.NilError(s.t, err)
		assert.Equal(s.t, again, next, "%s sent again", c.ChangeID)
	}
	return next
}

// raceMoving lets two operators make a change of the same version.
func (s *site) raceMoving(version uint64, change int) uint64 {
	s.t.Helper()
	var versions [2]uint64
	var errs [2]error
	var operators sync.WaitGroup
	for i := range 2 {
		c := admin.Change{
			ChangeID: fmt.Sprintf("change-%d-of-%d", change, i), Expected: version, Class: moving(change), Operator: fmt.Sprint(i),
		}
		operators.Go(func() { versions[i], errs[i] = s.changeUntilKnown(s.admin, c) })
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

// Guards against a configuration that goes back to an older one, on a control
// host or on a proxy, when hosts are killed and restarted.
func TestConfigurationNeverReverts(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3})
	held := make([]*holding, len(s.proxies))
	stop := make(chan struct{})
	var samplers sync.WaitGroup
	end := sync.OnceFunc(func() { close(stop); samplers.Wait() })
	t.Cleanup(end)
	for i := range s.proxies {
		held[i] = &holding{first: map[int]time.Time{}}
		samplers.Go(func() { s.watchHeld(stop, i, held[i]) })
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
			version = s.raceMoving(version, change)
		} else {
			version = s.changeMoving(version, change)
		}
		accepted[change] = time.Now()
		time.Sleep(changePause)
	}
	s.await("the last change on all proxies", func(context.Context) error {
		for i := range s.proxies {
			if change, _ := s.heldChange(i); change != configChanges {
				return fmt.Errorf("proxy-%d holds change %d", i+1, change)
			}
		}
		return nil
	})
	time.Sleep(200 * time.Millisecond) // the samplers have seen it too
	end()
	assert.Equal(t, s.classVersion(), version)
	s.assertHeldInTime(accepted, held)
}

func (s *site) assertHeldInTime(accepted map[int]time.Time, held []*holding) {
	s.t.Helper()
	var times []time.Duration
	for change, at := range accepted {
		var longest time.Duration
		for i, h := range held {
			seen, ok := h.first[change]
			assert.Assert(s.t, ok, "change %d was not seen on proxy-%d", change, i+1)
			longest = max(longest, seen.Sub(at))
		}
		times = append(times, longest)
	}
	slices.Sort(times)
	n := len(times)
	s.t.Logf("all proxies held a change after: p50 %s, p90 %s, p99 %s, max %s", times[n/2], times[n*9/10], times[n*99/100], times[n-1])
	assert.Assert(s.t, times[n-1] < configWithin)
}
