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
