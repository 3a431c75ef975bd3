package loadgen

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lovageslip/standin"
)

func startServer(t *testing.T, options standin.Options) *standin.Server {
	t.Helper()
	options.ConnectDelay = -1
	server, err := standin.Start(options)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	assert.NilError(t, Setup(t.Context(), server.Address(), "db"))
	return server
}

// Guards against a schedule that differs between runs with the same seed, or
// whose rate or mix of work differs from the profile's.
func TestScheduleFollowsProfile(t *testing.T) {
	profile := Tahimik(1000, 20*time.Second).WithPeak(5*time.Second, 5*time.Second, 10)
	first, second := newSchedule(profile, 7), newSchedule(profile, 7)
	inPeak, outside, writes := 0, 0, 0
	for {
		a, ok := first.next()
		b, _ := second.next()
		assert.Equal(t, a, b)
		if !ok {
			break
		}
		if a.due >= 5*time.Second && a.due < 10*time.Second {
			inPeak++
		} else {
			outside++
		}
		if profile.Work[a.work].Write {
			writes++
		}
	}
	near := func(got int, want float64) {
		assert.Assert(t, math.Abs(float64(got)-want) < want/20, "%d, want %g", got, want)
	}
	near(inPeak, 50000)
	near(outside, 15000)
	near(writes, 6500)
}

// Guards against requests that are missing from the results, with the simple or
// the extended query protocol.
func TestRunCountsEveryRequest(t *testing.T) {
	server := startServer(t, standin.Options{})
	for _, extended := range []bool{false, true} {
		profile := PendragonLloyd(2000, time.Second).WithStragglers(0.01, 100, 200*time.Microsecond)
		result, err := Run(t.Context(), Options{Targets: []string{server.Address()}, Database: "db", Profile: profile, Extended: extended})
		assert.NilError(t, err)
		assert.Equal(t, len(result.Work), 4)
		for _, work := range result.Work {
			assert.Assert(t, work.Sent > 0)
			assert.Equal(t, work.OK, work.Sent, "%s: %v", work.Name, work.Outcomes)
			assert.Assert(t, work.Latency.Max >= work.Response.P50)
		}
		var out strings.Builder
		assert.NilError(t, result.WriteTable(&out))
		assert.NilError(t, result.WriteChart(&out))
		assert.Assert(t, strings.Contains(out.String(), "straggler"))
		assert.Assert(t, strings.Contains(out.String(), "#"))
	}
}

// Guards against coordinated omission: the latency of requests that could not
// start because the server stalled must include their wait.
func TestStallShowsInLatency(t *testing.T) {
	server := startServer(t, standin.Options{})
	const stall = 300 * time.Millisecond
	profile := Tahimik(500, time.Second)
	result, err := Run(t.Context(), Options{
		Targets: []string{server.Address()}, Database: "db", Profile: profile, Sessions: 2,
		HookAt: 300 * time.Millisecond,
		Hook: func(context.Context) {
			server.Freeze()
			time.Sleep(stall)
			server.Unfreeze()
		},
	})
	assert.NilError(t, err)
	read := result.Work[0]
	assert.Equal(t, read.OK, read.Sent)
	assert.Assert(t, read.LongestGap >= stall, "%v", read.LongestGap)
	assert.Assert(t, read.Latency.P90 > stall/4, "%v", read.Latency.P90)
	assert.Assert(t, read.WithinTargetShare < 0.9, "%v", read.WithinTargetShare)
}

// Guards against failed requests that are counted as successes, and against
// sessions that don't reconnect after a restart of the server.
func TestSessionsReconnectAfterServerLoss(t *testing.T) {
	server := startServer(t, standin.Options{})
	profile := Tahimik(500, time.Second)
	result, err := Run(t.Context(), Options{
		Targets: []string{server.Address()}, Database: "db", Profile: profile, Sessions: 8,
		HookAt: 300 * time.Millisecond,
		Hook: func(context.Context) {
			server.Kill()
			time.Sleep(100 * time.Millisecond)
			assert.Check(t, server.Restart() == nil)
		},
	})
	assert.NilError(t, err)
	read := result.Work[0]
	assert.Assert(t, read.OK < read.Sent)
	assert.Assert(t, read.Outcomes[outcomeDisconnected]+read.Outcomes[outcomeNoConnection] > 0, "%v", read.Outcomes)
	assert.Assert(t, read.OK > read.Sent/2, "%v", read.Outcomes)
	assert.Assert(t, read.LongestGap >= 100*time.Millisecond, "%v", read.LongestGap)
}
