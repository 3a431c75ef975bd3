package exchange_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/upstream"
)

func TestAllFieldsCrossTheWire(t *testing.T) {
	result := exchange.BatchResult{
		State:         upstream.StateIdle,
		Commit:        upstream.Position{Term: 3, Offset: 17},
		DatabaseError: true,
		Hint: exchange.Hint{Upstream: "u1", Position: upstream.Position{Term: 3, Offset: 18}, Primary: true,
			DataAge: time.Second, ExpectedWait: time.Millisecond, Queued: 4},
	}
	o := &fakeOwner{run: func(_ context.Context, b upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
		return result, errors.Join(sink([]byte("one")), sink([]byte("two")))
	}}
	address := startServer(t, o).address
	open := exchange.Open{Upstream: "u1", Class: "c", ConfigVersion: 5, MinPosition: upstream.Position{Term: 2, Offset: 9}, Caller: "app", EntryHost: "p1"}
	batch := upstream.Batch{
		Mode: upstream.ModeWrite, Payload: []byte("payload"), RequestID: "r1", Shape: 77,
		Prepared: []upstream.Prepared{{Name: "n", SQL: "select 1", ParameterOIDs: []uint32{23}}},
		Waited:   time.Millisecond, WaitRemaining: time.Second,
	}
	s, err := newClient(t).OpenAt(t.Context(), address, open)
	assert.NilError(t, err)
	var answer bytes.Buffer
	got, err := s.Run(t.Context(), batch, func(chunk []byte) error {
		_, err := answer.Write(chunk)
		return err
	})
	assert.NilError(t, err)
	assert.Equal(t, answer.String(), "onetwo")
	assert.DeepEqual(t, got, result)
	assert.DeepEqual(t, o.opened[0], open)
	assert.DeepEqual(t, o.batches[0], batch)
}

func TestTypedErrorsCrossTheWire(t *testing.T) {
	for name, want := range map[string]error{
		"not run":   &fault.NotRun{Reason: fault.ReasonStale, Detail: "behind", RetryAfter: 20 * time.Millisecond},
		"unknown":   &fault.OutcomeUnknown{Reason: fault.ReasonSilentConnection, Detail: "silent"},
		"committed": &fault.AlreadyCommitted{RequestID: "r1"},
	} {
		t.Run(name, func(t *testing.T) {
			o := &fakeOwner{run: func(context.Context, upstream.Batch, upstream.Sink) (exchange.BatchResult, error) {
				return exchange.BatchResult{}, want
			}}
			_, _, err := runBatch(t.Context(), newClient(t), startServer(t, o).address, "x")
			assert.DeepEqual(t, err, want)
		})
	}
}

func TestUntypedErrorIsUnknownOutcome(t *testing.T) {
	o := &fakeOwner{run: func(context.Context, upstream.Batch, upstream.Sink) (exchange.BatchResult, error) {
		return exchange.BatchResult{}, errors.New("some failure")
	}}
	_, _, err := runBatch(t.Context(), newClient(t), startServer(t, o).address, "x")
	var unknown *fault.OutcomeUnknown
	assert.Assert(t, errors.As(err, &unknown))
}

func TestRefusedOpenRunsNothingAndLeavesTheStreamUsable(t *testing.T) {
	o := &fakeOwner{run: echo, openErr: &fault.NotRun{Reason: fault.ReasonNotOwner, Detail: "another host"}}
	address := startServer(t, o).address
	client := newClient(t)
	_, _, err := runBatch(t.Context(), client, address, "x")
	assert.DeepEqual(t, err, o.openErr)
	batches, _, _ := o.counts()
	assert.Equal(t, batches, 0)
	o.mu.Lock()
	o.openErr = nil
	o.mu.Unlock()
	answer, _, err := runBatch(t.Context(), client, address, "y")
	assert.NilError(t, err)
	assert.Equal(t, answer, "y")
}

func TestUnreachableOwnerIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	_, _, err = runBatch(t.Context(), newClient(t), address, "x")
	var notRun *fault.NotRun
	assert.Assert(t, errors.As(err, &notRun), "%v", err)
	assert.Equal(t, notRun.Reason, fault.ReasonUpstreamUnavailable)
}

// Guards against a partial answer that is taken for a complete one because the
// connection broke in the middle of it.
func TestConnectionLossMidAnswerIsUnknownOutcome(t *testing.T) {
	var s *testServer
	o := &fakeOwner{run: func(ctx context.Context, _ upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
		if err := sink([]byte("half")); err != nil {
			return exchange.BatchResult{}, err
		}
		s.http.Close()
		<-ctx.Done()
		return exchange.BatchResult{}, ctx.Err()
	}}
	s = startServer(t, o)
	_, _, err := runBatch(t.Context(), newClient(t), s.address, "x")
	var unknown *fault.OutcomeUnknown
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

// Guards against an answer from an idle stream whose owner has stopped.
func TestIdleStreamOfStoppedOwnerGivesNoAnswer(t *testing.T) {
	o := &fakeOwner{run: echo}
	s := startServer(t, o)
	client := newClient(t)
	_, _, err := runBatch(t.Context(), client, s.address, "x")
	assert.NilError(t, err)
	s.http.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// Until the client has noticed the end of the connection, it can't
		// know whether the batch arrived, so an unknown outcome is right too. A
		// success would be a false answer.
		_, _, err := runBatch(t.Context(), client, s.address, "y")
		assert.Assert(t, err != nil)
		var notRun *fault.NotRun
		if errors.As(err, &notRun) {
			return poll.Success()
		}
		var unknown *fault.OutcomeUnknown
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		return poll.Continue("the client has not noticed the end of the connection")
	}, poll.WithDelay(time.Millisecond))
	batches, _, _ := o.counts()
	assert.Equal(t, batches, 1)
}

// Guards against an answer that reaches the wrong caller: the stream of a
// cancelled exchange must not be reused, because its answer may still arrive.
func TestLateAnswerNeverReachesTheNextExchange(t *testing.T) {
	release := make(chan struct{})
	o := &fakeOwner{}
	o.run = func(ctx context.Context, b upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
		if string(b.Payload) == "slow" {
			<-release
		}
		return echo(ctx, b, sink)
	}
	address := startServer(t, o).address
	client := newClient(t)
	_, _, err := runBatch(t.Context(), client, address, "warm")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		_, _, err := runBatch(ctx, client, address, "slow")
		assert.Check(t, err != nil)
	})
	waitForBatches(t, o, 2)
	cancel()
	group.Wait()
	close(release)
	for i := range 50 {
		want := strconv.Itoa(i)
		answer, _, err := runBatch(t.Context(), client, address, want)
		assert.NilError(t, err)
		assert.Equal(t, answer, want)
	}
}

func waitForBatches(t testing.TB, o *fakeOwner, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if batches, _, _ := o.counts(); batches >= n {
			return poll.Success()
		}
		return poll.Continue("batches have not arrived")
	})
}

func TestAnswersAreNeverMixedUnderConcurrency(t *testing.T) {
	address := startServer(t, &fakeOwner{run: echo}).address
	client := newClient(t)
	var group conc.WaitGroup
	for i := range 16 {
		group.Go(func() {
			for j := range 50 {
				want := strconv.Itoa(i*1000 + j)
				answer, _, err := runBatch(t.Context(), client, address, want)
				assert.Check(t, err)
				assert.Check(t, answer == want, "%q for %q", answer, want)
			}
		})
	}
	group.Wait()
}

func TestCancelReachesTheRunningBatchOnly(t *testing.T) {
	release := make(chan struct{})
	o := &fakeOwner{}
	o.run = func(ctx context.Context, b upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
		<-release
		return echo(ctx, b, sink)
	}
	address := startServer(t, o).address
	s, err := newClient(t).OpenAt(t.Context(), address, exchange.Open{})
	assert.NilError(t, err)
	assert.NilError(t, s.Cancel(t.Context()))
	var group conc.WaitGroup
	group.Go(func() {
		_, err := s.Run(t.Context(), upstream.Batch{Payload: []byte("x")}, func([]byte) error { return nil })
		assert.Check(t, err)
	})
	waitForBatches(t, o, 1)
	assert.NilError(t, s.Cancel(t.Context()))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, _, cancels := o.counts(); cancels == 1 {
			return poll.Success()
		}
		return poll.Continue("cancel has not arrived")
	})
	close(release)
	group.Wait()
	assert.NilError(t, s.Cancel(t.Context()))
	_, _, cancels := o.counts()
	assert.Equal(t, cancels, 1)
}

func TestCancelledCallerEndsTheBatchAndRollsBack(t *testing.T) {
	o := &fakeOwner{run: func(ctx context.Context, _ upstream.Batch, _ upstream.Sink) (exchange.BatchResult, error) {
		<-ctx.Done()
		return exchange.BatchResult{}, &fault.OutcomeUnknown{Reason: fault.ReasonCancelled}
	}}
	address := startServer(t, o).address
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() {
		_, _, err := runBatch(ctx, newClient(t), address, "x")
		var unknown *fault.OutcomeUnknown
		assert.Check(t, errors.As(err, &unknown), "%v", err)
		assert.Check(t, unknown.Reason == fault.ReasonCancelled)
	})
	waitForBatches(t, o, 1)
	cancel()
	group.Wait()
	waitForClosed(t, o, 1)
}

func waitForClosed(t testing.TB, o *fakeOwner, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, closed, _ := o.counts(); closed >= n {
			return poll.Success()
		}
		return poll.Continue("exchange is still open")
	})
}

func TestTransactionStaysOnOneExchangeAndRollsBackOnClose(t *testing.T) {
	o := &fakeOwner{run: func(context.Context, upstream.Batch, upstream.Sink) (exchange.BatchResult, error) {
		return exchange.BatchResult{State: upstream.StateOpen}, nil
	}}
	address := startServer(t, o).address
	s, err := newClient(t).OpenAt(t.Context(), address, exchange.Open{})
	assert.NilError(t, err)
	for range 3 {
		_, err := s.Run(t.Context(), upstream.Batch{Payload: []byte("x")}, func([]byte) error { return nil })
		assert.NilError(t, err)
	}
	assert.Equal(t, len(o.opened), 1)
	_, closed, _ := o.counts()
	assert.Equal(t, closed, 0)
	assert.NilError(t, s.Close())
	waitForClosed(t, o, 1)
}

func TestDrainEndsIdleStreamsAndLosesNoExchange(t *testing.T) {
	o := &fakeOwner{run: echo}
	s := startServer(t, o)
	client := newClient(t)
	_, _, err := runBatch(t.Context(), client, s.address, "x")
	assert.NilError(t, err)
	s.server.Drain()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, s.http.Shutdown(ctx))
	_, _, err = runBatch(t.Context(), client, s.address, "y")
	var notRun *fault.NotRun
	assert.Assert(t, errors.As(err, &notRun), "%v", err)
	batches, _, _ := o.counts()
	assert.Equal(t, batches, 1)
}

// Guards against unknown outcomes during an orderly shutdown: a request that
// arrives while the owner drains either runs or is refused as not run.
func TestRequestDuringDrainIsNeverUnknown(t *testing.T) {
	for range 20 {
		o := &fakeOwner{run: echo}
		s := startServer(t, o)
		client := newClient(t)
		var group conc.WaitGroup
		for range 8 {
			group.Go(func() {
				for {
					_, _, err := runBatch(t.Context(), client, s.address, "x")
					var unknown *fault.OutcomeUnknown
					assert.Check(t, !errors.As(err, &unknown), "%v: %v", err, errors.Unwrap(err))
					if err != nil {
						return
					}
				}
			})
		}
		waitForBatches(t, o, 20)
		s.server.Drain()
		assert.NilError(t, s.http.Shutdown(t.Context()))
		group.Wait()
	}
}

func BenchmarkExchange(b *testing.B) {
	address := startServer(b, &fakeOwner{run: echo}).address
	client := newClient(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := runBatch(b.Context(), client, address, "select 1"); err != nil {
			b.Fatal(err)
		}
	}
}
