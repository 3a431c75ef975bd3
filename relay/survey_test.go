package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	pb "lovageslip/gen/lovageslip/v1"
)

// checkedPeers answers checks of peers, but for those that are silent.
type checkedPeers struct {
	mu     sync.Mutex
	silent map[string]bool
	checks int
}

func (f *checkedPeers) check(p *peer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checks++
	if f.silent[p.host.Name] {
		return context.DeadlineExceeded
	}
	return nil
}

func (f *checkedPeers) setSilent(name string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[name] = silent
}

// newSurveyClient returns a client with n peers, of which the first ones are silent.
func newSurveyClient(n, silent int) (*Client, *checkedPeers) {
	f := &checkedPeers{silent: make(map[string]bool)}
	c := NewClient(Options{Name: "self"})
	c.checkPeer = f.check
	var hosts []*pb.RelayHost
	for i := range n {
		name := fmt.Sprintf("peer-%d", i)
		f.silent[name] = i < silent
		hosts = append(hosts, &pb.RelayHost{Name: name, Address: "127.0.0.1:1"})
	}
	c.SetPeers(hosts)
	return c, f
}

func (c *Client) peerNamed(name string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[name]
}

// awaitUsable waits until so many peers are in use.
func awaitUsable(t *testing.T, c *Client, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if usable := len(c.usablePeers()); usable != n {
			return poll.Continue("%d peers are in use, want %d", usable, n)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(time.Millisecond))
}

// A failed switch cuts a proxy off from most of its peers. Guards against statements
// that find them one after the other.
func TestFailureOfOnePeerShowsTheOthersThatAreCutOff(t *testing.T) {
	c, _ := newSurveyClient(14, 12) // two answer, so a sample of three finds a silent one
	c.recordFailure(c.peerNamed("peer-0"), context.DeadlineExceeded)
	awaitUsable(t, c, 2)
	for i := range 100 {
		if p := c.relay(fmt.Sprintf("upstream-%d", i)); p != nil {
			assert.Assert(t, p.host.Name == "peer-12" || p.host.Name == "peer-13", p.host.Name)
		}
	}
}

// Guards against many requests after the restart of one proxy.
func TestLossOfOnePeerCostsASample(t *testing.T) {
	c, f := newSurveyClient(90, 1)
	c.recordFailure(c.peerNamed("peer-0"), context.DeadlineExceeded)
	time.Sleep(50 * time.Millisecond) // shorter than the pause before peer-0 is checked
	assert.Equal(t, len(c.usablePeers()), 89)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.checks, surveySample)
}

// Guards against a proxy that is itself cut off, or too slow, and gives up all peers.
func TestSurveyConcludesNothingIfNoPeerAnswers(t *testing.T) {
	c, f := newSurveyClient(10, 10)
	c.recordFailure(c.peerNamed("peer-0"), context.DeadlineExceeded)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.checks < 9 {
			return poll.Continue("%d checks", f.checks)
		}
		return poll.Success()
	})
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, len(c.usablePeers()), 9)
}

// Guards against callers that try in vain whether a peer is back.
func TestFailedPeerIsUsedOnceItAnswersACheck(t *testing.T) {
	c, f := newSurveyClient(3, 1)
	p := c.peerNamed("peer-0")
	c.recordFailure(p, context.DeadlineExceeded)
	time.Sleep(avoidMin + 200*time.Millisecond)
	assert.Equal(t, len(c.usablePeers()), 2, "used without an answer")
	f.setSilent("peer-0", false)
	awaitUsable(t, c, 3)
}

// A counter of teams that is slow once stays in use; one that is silent doesn't.
func TestSuspectedPeerIsChecked(t *testing.T) {
	c, _ := newSurveyClient(5, 1)
	c.suspect(c.peerNamed("peer-1"))
	c.suspect(c.peerNamed("peer-0"))
	awaitUsable(t, c, 4)
	assert.Assert(t, !c.peerNamed("peer-1").failed)
}
