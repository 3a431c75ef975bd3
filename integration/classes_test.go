package integration

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"lovageslip/admin"
	"lovageslip/class"
	"lovageslip/tlsconf"
)

const (
	classChanges = 500
	// inForceLimit is P9's limit for a change to be in force everywhere.
	inForceLimit = 11 * time.Second
)

// accepted lists the names of the classes that were accepted, in order. Each
// change adds one, so a proxy's version is the last name that it knows.
type accepted struct {
	mu    sync.Mutex // guards names
	names []string
}

func (a *accepted) add(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.names = append(a.names, name)
}

func (a *accepted) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.names)
}

// Guards against a configuration that is lost or goes back when operators race,
// changes are resent, and control hosts and proxies restart after hundreds of
// changes.
func TestHundredsOfClassChangesNeverRevert(t *testing.T) {
	s := startSite(t, siteOptions{controls: 3, proxies: 3})
	var known accepted
	stop := make(chan struct{})
	var samplers sync.WaitGroup
	for proxy := range s.proxies {
		samplers.Go(func() { s.sampleClasses(stop, proxy, &known) })
	}
	endSampling := sync.OnceFunc(func() { close(stop); samplers.Wait() })
	t.Cleanup(endSampling)
	classes, err := s.admin.ListClasses(context.Background())
	assert.NilError(t, err)
	version := classes.GetVersion()
	for i := range classChanges {
		names := []string{fmt.Sprintf("work_%d", i)}
		if i%4 == 0 {
			names = append(names, fmt.Sprintf("rival_%d", i))
		}
		var winner string
		winner, version = s.race(version, names)
		known.add(winner)
		if i%50 == 25 {
			s.controls[i/50%3].restart()
		}
		if i%125 == 60 {
			s.proxies[i/125%3].restart()
		}
	}
	s.awaitClasses(known.list())
	s.controls[0].restart()
	s.proxies[0].restart()
	s.awaitClasses(known.list())
	endSampling()
	s.checkHistory(known.list())
}

// race makes changes that all expect the same version, and resends one of them.
// Exactly one may win.
func (s *site) race(expected uint64, names []string) (winner string, version uint64) {
	s.t.Helper()
	versions := make([]uint64, len(names))
	var operators sync.WaitGroup
	for i, name := range names {
		operators.Go(func() { versions[i] = s.change(expected, i, name) })
	}
	operators.Wait()
	for i, v := range versions {
		if v == 0 {
			continue
		}
		assert.Assert(s.t, winner == "", "%s and %s both won version %d", winner, names[i], v)
		winner, version = names[i], v
	}
	assert.Assert(s.t, winner != "", "no change won version %d", expected)
	for i, name := range names {
		again := s.change(expected, i+1, name)
		assert.Equal(s.t, again, versions[i], "resent change %s has another answer", name)
	}
	return winner, version
}

// change sends a change until it is answered. It returns zero for a conflict.
func (s *site) change(expected uint64, firstHost int, name string) (version uint64) {
	hosts := slices.Concat(s.direct[firstHost%len(s.direct):], s.direct[:firstHost%len(s.direct)])
	client := admin.New(tlsconf.HTTPClient(nil, nil), hosts)
	change := admin.Change{
		ChangeID: "change-" + name, Expected: expected, Operator: name,
		Class: class.Class{Name: name, Wait: 10 * time.Second},
	}
	for end := time.Now().Add(setUpTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		version, err := client.ChangeClass(context.Background(), change)
		var conflict *admin.Conflict
		var unreachable *admin.Unreachable
		switch {
		case err == nil:
			return version
		case errors.As(err, &conflict):
			return 0
		case !errors.As(err, &unreachable):
			s.t.Errorf("%s: %v", name, err)
			return 0
		}
	}
	s.t.Errorf("%s: no control host answered", name)
	return 0
}

// sampleClasses follows a proxy's version through the classes that it knows. It
// fails the test if a class that it has known is unknown again.
func (s *site) sampleClasses(stop <-chan struct{}, proxy int, known *accepted) {
	seen := 0
	var conn *pgx.Conn
	for ; !closed(stop); time.Sleep(time.Millisecond) {
		names := known.list()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if conn == nil || conn.IsClosed() {
			conn, _ = s.dial(ctx, proxy, "diary", "filing")
		}
		if conn != nil && seen > 0 && s.knows(ctx, conn, names[seen-1]) == no {
			s.t.Errorf("proxy-%d went back: class %s is unknown again", proxy+1, names[seen-1])
		}
		for conn != nil && seen < len(names) && s.knows(ctx, conn, names[seen]) == yes {
			seen++
		}
		cancel()
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

type answer int

const (
	noAnswer answer = iota
	yes
	no
)

// knows asks a proxy whether a class exists.
func (s *site) knows(ctx context.Context, conn *pgx.Conn, name string) answer {
	_, err := conn.Exec(ctx, "SET lovageslip.class = '"+name+"'")
	switch {
	case err == nil:
		return yes
	case sqlState(err) == "22023":
		return no
	}
	return noAnswer
}

// awaitClasses waits until the last class is in force on every proxy.
func (s *site) awaitClasses(names []string) {
	s.t.Helper()
	began := time.Now()
	for proxy := range s.proxies {
		s.await("the last class on each proxy", func(ctx context.Context) error {
			conn, err := s.dial(ctx, proxy, "diary", names[len(names)-1])
			if err == nil {
				_ = conn.Close(ctx)
			}
			return err
		})
	}
	took := time.Since(began)
	s.t.Logf("in force everywhere after %s", took)
	assert.Assert(s.t, took < inForceLimit, "in force after %s", took)
}

// checkHistory compares the classes in force with those that were accepted.
func (s *site) checkHistory(names []string) {
	s.t.Helper()
	classes, err := s.admin.ListClasses(context.Background())
	assert.NilError(s.t, err)
	var have []string
	for _, c := range classes.GetClasses() {
		have = append(have, c.GetName())
	}
	for _, c := range s.options.classes {
		names = append(names, c.Name)
	}
	slices.Sort(have)
	slices.Sort(names)
	assert.DeepEqual(s.t, have, names)
}
