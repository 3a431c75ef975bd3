package entry_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lovageslip/entry"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/upstream"
)

func reasonOf(t testing.TB, err error) fault.Reason {
	t.Helper()
	var refused *fault.NotRun
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Assert(t, refused.RetryAfter > 0)
	return refused.Reason
}

func TestWriteRefusedOnAReplicaIsRerunOnThePrimaryExactlyOnce(t *testing.T) {
	h := newHarness(t, func(_ context.Context, t try, _ upstream.Sink) (exchange.BatchResult, error) {
		if t.batch.Mode == upstream.ModeRead {
			return notRun(fault.ReasonReadOnly)
		}
		return committed(7)
	})
	s := h.session(t, "report")
	reply, err := s.Run(t.Context(), request("select write()"), discard)
	assert.NilError(t, err)
	assert.Assert(t, reply.Token != "")
	assert.DeepEqual(t, h.gateway.triedUpstreams(), []string{"u2", "u1"})
	assert.Equal(t, h.gateway.try(1).batch.Mode, upstream.ModeWrite)
	assert.Equal(t, h.counter("retried_total", fault.ReasonReadOnly), int64(1))
	_, err = s.Run(t.Context(), request("select write()"), discard)
	assert.NilError(t, err)
	assert.DeepEqual(t, h.gateway.triedUpstreams(), []string{"u2", "u1", "u1"})
}

func TestReadOnlyRefusalOfTheRerunIsFinal(t *testing.T) {
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
		return notRun(fault.ReasonReadOnly)
	})
	_, err := h.session(t, "report").Run(t.Context(), request("select write()"), discard)
	assert.Equal(t, reasonOf(t, err), fault.ReasonReadOnly)
	assert.Equal(t, len(h.gateway.triedUpstreams()), 2)
}

func TestUnknownOutcomeOfAWriteWithoutRequestIDIsNeverRetried(t *testing.T) {
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) { return unknownOutcome() })
	_, err := h.session(t, "current").Run(t.Context(), request("insert into t"), discard)
	var unknown *fault.OutcomeUnknown
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, len(h.gateway.triedUpstreams()), 1)
}

func TestUnknownOutcomeOfAWriteWithRequestIDIsRetriedUnderTheSameID(t *testing.T) {
	failures := 1
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
		if failures > 0 {
			failures--
			return unknownOutcome()
		}
		return committed(3)
	})
	s := h.session(t, "current")
	assert.NilError(t, s.SetRequestID("order-1"))
	_, err := s.Run(t.Context(), request("insert into t"), discard)
	assert.NilError(t, err)
	assert.Equal(t, h.gateway.try(0).batch.RequestID, "order-1")
	assert.Equal(t, h.gateway.try(1).batch.RequestID, "order-1")
	assert.Equal(t, s.RequestID(), "")
}

func TestRefusalAfterAnUnknownOutcomeIsNeverReportedAsNotRun(t *testing.T) {
	for _, text := range []string{"insert into t", "select 1"} {
		tries := 0
		h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
			tries++
			if tries == 1 {
				return unknownOutcome()
			}
			return notRun(fault.ReasonQueueFull)
		})
		s := h.session(t, "report")
		assert.NilError(t, s.SetRequestID("order-1"))
		_, err := s.Run(t.Context(), request(text), discard)
		var unknown *fault.OutcomeUnknown
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
		assert.Assert(t, tries > 1)
	}
}

func TestRequestIDSurvivesABatchThatOnlyPrepares(t *testing.T) {
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) { return idle() })
	s := h.session(t, "current")
	assert.NilError(t, s.SetRequestID("order-1"))
	_, err := s.Run(t.Context(), request(), discard)
	assert.NilError(t, err)
	assert.Equal(t, s.RequestID(), "order-1")
}

func TestReadIsRetriedElsewhereUnlessItsAnswerHasBegun(t *testing.T) {
	for name, c := range map[string]struct {
		begun bool
		tries int
	}{"nothing sent": {false, 2}, "answer begun": {true, 1}} {
		t.Run(name, func(t *testing.T) {
			failures := 1
			h := newHarness(t, func(_ context.Context, _ try, sink upstream.Sink) (exchange.BatchResult, error) {
				if failures == 0 {
					return idle()
				}
				failures--
				if c.begun {
					assert.NilError(t, sink([]byte("row")))
				}
				return unknownOutcome()
			})
			_, err := h.session(t, "report").Run(t.Context(), request("select 1"), discard)
			assert.Equal(t, err != nil, c.begun)
			tried := h.gateway.triedUpstreams()
			assert.Equal(t, len(tried), c.tries)
			assert.Assert(t, len(tried) == 1 || tried[0] != tried[1])
		})
	}
}

func TestTokenWorksOnAnotherProxyAndALaggingReplicaIsNotUsed(t *testing.T) {
	behaviour := func(_ context.Context, t try, _ upstream.Sink) (exchange.BatchResult, error) {
		if t.upstream == "u1" {
			return committed(50)
		}
		if t.open.MinPosition.Offset > 40 {
			return notRun(fault.ReasonStale)
		}
		return idle()
	}
	writer := newHarness(t, behaviour)
	reply, err := writer.session(t, "report").Run(t.Context(), request("insert into t"), discard)
	assert.NilError(t, err)
	reader := newHarness(t, behaviour)
	s := reader.session(t, "report")
	assert.NilError(t, s.SetToken(reply.Token))
	_, err = s.Run(t.Context(), request("select 1"), discard)
	assert.NilError(t, err)
	tried := reader.gateway.triedUpstreams()
	assert.Equal(t, tried[len(tried)-1], "u1")
	for i := range tried {
		assert.Equal(t, reader.gateway.try(i).open.MinPosition, upstream.Position{Term: 1, Offset: 50})
	}
}

func TestTokenOfAnotherDatabaseIsRefused(t *testing.T) {
	h := newHarness(t, nil)
	err := h.session(t, "report").SetToken(tokens(t).Sign("stock", upstream.Position{Term: 1, Offset: 1}))
	var bad *fault.BadToken
	assert.Assert(t, errors.As(err, &bad))
}

func TestRetryBudgetHoldsAtOverload(t *testing.T) {
	served := 0
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
		served++
		if served%2 == 0 {
			return notRun(fault.ReasonQueueFull)
		}
		return notRun(fault.ReasonWaitExceeded)
	})
	s := h.session(t, "report")
	const requests = 1000
	for range requests {
		_, err := s.Run(t.Context(), request("select 1"), discard)
		assert.Assert(t, err != nil)
	}
	amplification := float64(len(h.gateway.triedUpstreams())) / requests
	t.Logf("amplification %.3f", amplification)
	assert.Assert(t, amplification < 1.1)
	assert.Assert(t, h.counter("refused_total", fault.ReasonRetryBudget) > 0)
}

func TestOverloadedPrimaryRefusesAWriteAtOnce(t *testing.T) {
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
		return notRun(fault.ReasonQueueFull)
	})
	_, err := h.session(t, "current").Run(t.Context(), request("insert into t"), discard)
	assert.Equal(t, reasonOf(t, err), fault.ReasonQueueFull)
	assert.Equal(t, len(h.gateway.triedUpstreams()), 1)
	assert.Equal(t, h.counter("refused_total", fault.ReasonQueueFull), int64(1))
}

func TestWriteWaitsForTheNewPrimary(t *testing.T) {
	h := newHarness(t, func(_ context.Context, t try, _ upstream.Sink) (exchange.BatchResult, error) { return committed(1) })
	h.directory.replace(view(2, ""))
	s := h.session(t, "current")
	var group conc.WaitGroup
	group.Go(func() {
		_, err := s.Run(t.Context(), request("insert into t"), discard)
		assert.Check(t, err)
	})
	h.directory.replace(view(3, "u2"))
	group.Wait()
	assert.DeepEqual(t, h.gateway.triedUpstreams(), []string{"u2"})
}

func TestNoPrimaryWithinTheWaitIsNotRun(t *testing.T) {
	h := newHarness(t, nil)
	h.directory.replace(view(2, ""))
	_, err := h.session(t, "quick").Run(t.Context(), request("insert into t"), discard)
	assert.Equal(t, reasonOf(t, err), fault.ReasonNoUpstream)
	assert.Equal(t, len(h.gateway.triedUpstreams()), 0)
}

func TestConfigBehindIsRetriedWithTheNewVersion(t *testing.T) {
	h := newHarness(t, nil)
	h.gateway.answer = func(_ context.Context, t try, _ upstream.Sink) (exchange.BatchResult, error) {
		if t.open.ConfigVersion < 2 {
			h.directory.replace(view(2, "u1"))
			return notRun(fault.ReasonConfigBehind)
		}
		return idle()
	}
	_, err := h.session(t, "current").Run(t.Context(), request("insert into t"), discard)
	assert.NilError(t, err)
	assert.Equal(t, len(h.gateway.triedUpstreams()), 2)
	assert.Equal(t, h.counter("retried_total", fault.ReasonConfigBehind), int64(1))
}

func TestTransactionIsPinnedToOneExchangeAndNeverRetried(t *testing.T) {
	state := upstream.StateOpen
	fail := false
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
		if fail {
			return notRun(fault.ReasonUpstreamUnavailable)
		}
		return exchange.BatchResult{State: state}, nil
	})
	s := h.session(t, "current")
	for _, text := range []string{"begin", "select 1", "insert into t"} {
		_, err := s.Run(t.Context(), request(text), discard)
		assert.NilError(t, err)
	}
	assert.Assert(t, s.InTransaction())
	assert.Assert(t, h.gateway.try(0).stream == h.gateway.try(2).stream)
	assert.Equal(t, h.gateway.try(1).batch.Mode, upstream.ModeWrite)
	fail = true
	_, err := s.Run(t.Context(), request("insert into t"), discard)
	assert.Equal(t, reasonOf(t, err), fault.ReasonUpstreamUnavailable)
	assert.Equal(t, len(h.gateway.triedUpstreams()), 4)
	assert.Assert(t, !s.InTransaction())
	<-h.gateway.try(0).stream.closed
}

func TestClosingASessionRollsItsTransactionBack(t *testing.T) {
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) {
		return exchange.BatchResult{State: upstream.StateOpen}, nil
	})
	s := h.session(t, "current")
	_, err := s.Run(t.Context(), request("begin"), discard)
	assert.NilError(t, err)
	s.Close()
	<-h.gateway.try(0).stream.closed
}

func TestCancelReachesTheRunningBatchAndEndsAWait(t *testing.T) {
	h := newHarness(t, func(_ context.Context, t try, _ upstream.Sink) (exchange.BatchResult, error) {
		<-t.stream.cancelled
		return notRun(fault.ReasonCancelled)
	})
	s := h.session(t, "current")
	err := runAndCancel(t, s, func() bool { return len(h.gateway.triedUpstreams()) == 1 })
	assert.Equal(t, reasonOf(t, err), fault.ReasonCancelled)
	h.directory.replace(view(2, ""))
	begun := time.Now()
	assert.Equal(t, reasonOf(t, runAndCancel(t, s, s.Running)), fault.ReasonCancelled)
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}

// runAndCancel runs a write, cancels it once underWay returns true, and returns
// the error of the write.
func runAndCancel(t testing.TB, s *entry.Session, underWay func() bool) (err error) {
	t.Helper()
	var group conc.WaitGroup
	group.Go(func() { _, err = s.Run(t.Context(), request("insert into t"), discard) })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if underWay() {
			return poll.Success()
		}
		return poll.Continue("the write has not started")
	}, poll.WithDelay(time.Millisecond))
	assert.NilError(t, s.Cancel(t.Context()))
	group.Wait()
	return err
}

func TestDefaultClassIsTheFirstWithAgeZero(t *testing.T) {
	h := newHarness(t, nil)
	s, err := h.Open("shop", "app")
	assert.NilError(t, err)
	assert.Equal(t, s.Class(), "current")
	v := view(2, "u1")
	delete(v.Classes, "current")
	delete(v.Classes, "quick")
	h.directory.replace(v)
	_, err = s.Run(t.Context(), request("select 1"), discard)
	var none *entry.NoDefaultClass
	assert.Assert(t, errors.As(err, &none))
}

func TestKeywordDecidesTheFirstMode(t *testing.T) {
	h := newHarness(t, func(context.Context, try, upstream.Sink) (exchange.BatchResult, error) { return idle() })
	s := h.session(t, "report")
	for i, c := range []struct {
		text string
		mode upstream.Mode
	}{
		{"select 1", upstream.ModeRead},
		{"  /* c */ -- d\n (SELECT 1)", upstream.ModeRead},
		{"with x as (select 1) select 1;", upstream.ModeRead},
		{"select 1; delete from t", upstream.ModeWrite},
		{"begin", upstream.ModeWrite},
		{"begin  read only;", upstream.ModeRead},
		{"update t set a = 1", upstream.ModeWrite},
		{"", upstream.ModeWrite},
	} {
		_, err := s.Run(t.Context(), request(c.text), discard)
		assert.NilError(t, err)
		assert.Equal(t, h.gateway.try(i).batch.Mode, c.mode, c.text)
	}
}
