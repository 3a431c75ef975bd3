package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc/iter"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// A failed link or switch cuts a proxy off from many of its peers at the same moment.
// This file finds out which ones, so that statements don't find them one after the
// other, each by a wait in vain, and uses a peer that failed only once it answers
// again.

const (
	// peerCheckTimeout bounds a check whether a peer answers. The peer is in the same
	// data centre, but may be short of processor time.
	peerCheckTimeout = 250 * time.Millisecond
	// peerCheckMax bounds the pause between checks of a peer that doesn't answer.
	// No caller waits for a check, and while proxies of a data centre use different
	// relays, these share its room for connections.
	peerCheckMax = 2 * time.Second
	// surveySample is how many other peers are checked once one has failed. The loss
	// of one peer then costs each proxy three requests. Where half of the peers are
	// cut off, the sample misses it in one of eight cases; the next failure starts
	// another survey.
	surveySample = 3
	// surveyInterval is the least time between surveys. It leaves a proxy that was
	// suspended, whose requests all time out, the time to notice that peers answer.
	surveyInterval = 500 * time.Millisecond
	// surveyConcurrency bounds the checks of a survey at the same time.
	surveyConcurrency = 32
)

// PeerSilent reports a peer that did not answer a check.
type PeerSilent struct{ Err error }

func (e *PeerSilent) Error() string { return "peer does not answer a check: " + e.Err.Error() }
func (e *PeerSilent) Unwrap() error { return e.Err }

// checkPeer asks a peer for an answer of any kind.
func checkPeer(p *peer) error { return p.answerWithin(peerCheckTimeout) }

func (p *peer) answerWithin(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := p.service.Check(ctx, connect.NewRequest(&pb.RelayCheckRequest{}))
	return err
}

// suspect checks a peer that did not answer one request in time, and records a failure
// if it doesn't answer the check either.
func (c *Client) suspect(p *peer) {
	if !c.startCheck(p) {
		return
	}
	go func() {
		err := c.checkPeer(p)
		c.endCheck(p)
		if err != nil {
			c.recordFailure(p, &PeerSilent{Err: err})
		}
	}()
}

func (c *Client) startCheck(p *peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.checking {
		return false
	}
	p.checking = true
	return true
}

func (c *Client) endCheck(p *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.checking = false
}

// startSurveyLocked reports whether other peers should be checked now that one has failed.
// If so, the caller must call survey.
func (c *Client) startSurveyLocked(now time.Time) bool {
	if now.Before(c.nextSurvey) {
		return false
	}
	c.nextSurvey = now.Add(surveyInterval)
	return true
}

// survey checks a sample of the peers in use, and the others if one of the sample does
// not answer. Those that don't are no longer used. If none answers, it is likely this
// proxy that is cut off or too slow, so nothing is concluded.
func (c *Client) survey() {
	peers := c.usablePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	sample := min(surveySample, len(peers))
	failed := c.silentPeers(peers[:sample])
	if len(failed) == 0 {
		return
	}
	failed = append(failed, c.silentPeers(peers[sample:])...)
	c.metrics.Counter("surveys_total").Inc(1)
	if len(failed) == len(peers) {
		c.log.Warn("no other proxy of the data centre answers a check", "checked", len(peers))
		return
	}
	for _, f := range failed {
		c.recordFailure(f.peer, &PeerSilent{Err: f.err})
	}
}

// silentPeer is a peer that did not answer a check.
type silentPeer struct {
	peer *peer
	err  error
}

func (c *Client) silentPeers(peers []*peer) []silentPeer {
	mapper := iter.Mapper[*peer, error]{MaxGoroutines: surveyConcurrency}
	errs := mapper.Map(peers, func(p **peer) error { return c.checkPeer(*p) })
	var silent []silentPeer
	for i, err := range errs {
		if err != nil {
			silent = append(silent, silentPeer{peers[i], err})
		}
	}
	return silent
}

// usablePeers returns the peers that may be used for some upstream.
func (c *Client) usablePeers() []*peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []*peer
	for _, p := range c.peers {
		if !p.failed && !p.leaving {
			usable = append(usable, p)
		}
	}
	return usable
}

// awaitAnswer checks a peer that failed, from the end of the time in which it is avoided,
// until it answers or leaves the list.
func (c *Client) awaitAnswer(p *peer) {
	for {
		pause, ok := c.untilCheck(p)
		if !ok {
			return
		}
		time.Sleep(pause)
		if c.recordCheck(p, c.checkPeer(p)) {
			return
		}
	}
}

// untilCheck returns when a peer that failed is to be checked. It reports false if the
// peer is no longer in the list.
func (c *Client) untilCheck(p *peer) (pause time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return p.avoidUntil.Sub(bootclock.Now()), c.peers[p.host.Name] == p
}

// recordCheck records the check of a peer that failed, and reports whether the peer may
// be used again.
func (c *Client) recordCheck(p *peer, err error) (usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		p.avoidUntil = bootclock.Now().Add(min(avoidMin<<min(p.failures, 5), peerCheckMax))
		p.failures++
		return false
	}
	p.failed = false
	clear(c.chosen)
	c.log.Info("relay answers again", "relay", p.host.Name)
	return true
}
