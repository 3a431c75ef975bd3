package proxy

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection on which an answer may be outstanding after a panic, and
// which is used again, so that the next caller gets that answer.
func TestConnectionIsClosedAfterAPanic(t *testing.T) {
	openConnections := func(f *fixture) (n int) {
		f.group.update("p1", func(u *fakeUpstream) { n = u.open })
		return n
	}
	panicking := func(f *fixture, run func()) {
		f.group.update("p1", func(u *fakeUpstream) { u.panics = true })
		defer func() { assert.Check(t, recover() != nil) }()
		run()
	}
	t.Run("session", func(t *testing.T) {
		f := newFixture(t)
		s := f.open("latest")
		do(t, s, &Statement{ID: "b", Kind: KindBegin, Text: "BEGIN"})
		mustServe(t, s, write("w1"))
		panicking(f, func() { do(t, s, write("w2")) })
		s.Abandon()
		assert.Equal(t, openConnections(f), 0)
	})
	t.Run("relay", func(t *testing.T) {
		f := newFixture(t)
		r := f.proxy.OpenRelayed("p1", "p1", 0)
		run := func(c Command) ([]Answer, error) {
			return r.Run(context.Background(), Turn{MaxWait: time.Second}, time.Second, []Command{c})
		}
		answers, err := run(Command{Kind: CommandBegin})
		assert.NilError(t, err)
		assert.Equal(t, answers[0].State, StateOpen)
		panicking(f, func() { _, _ = run(Command{Kind: CommandForward, Statement: write("w")}) })
		r.Close()
		assert.Equal(t, openConnections(f), 0)
	})
}

// Guards against a team that runs a statement with another team's session values, or one
// that only another team has prepared, on a virtual connection that both have used.
func TestVirtualConnectionIsResetForAnotherTeam(t *testing.T) {
	c := &conn{values: map[string]string{"caller": "x"}, prepared: map[definitionID]string{{}: "s1"}}
	c.passToTeam("x")
	values := map[string]string{"caller": "x"}
	assert.DeepEqual(t, setValues(c, values), []Command{{Kind: CommandReset}, {Kind: CommandSet, Name: "caller", Value: "x"}})
	assert.Equal(t, len(c.prepared), 0)
	c.prepared[definitionID{}] = "s1"
	c.passToTeam("x")
	assert.Equal(t, len(setValues(c, values)), 0, "a session of the same team needs no reset")
	c.passToTeam("y")
	c.passToTeam("x")
	assert.DeepEqual(t, setValues(c, values)[0], Command{Kind: CommandReset})
}

// Guards against own commands that open a connection at a relay, and against a
// caller's transaction that begins on a connection of another team.
func TestOnlyOwnCommandsMayUseConnectionsOfAllTeams(t *testing.T) {
	begin, rollback, forward := Command{Kind: CommandBegin}, Command{Kind: CommandRollback}, Command{Kind: CommandForward}
	assert.Equal(t, carriesCaller([]Command{begin, rollback}), false)
	assert.Equal(t, carriesCaller([]Command{begin}), true)
	assert.Equal(t, carriesCaller([]Command{begin, forward, rollback}), true)
	assert.Equal(t, carriesCaller([]Command{forward, rollback}), true)
}
