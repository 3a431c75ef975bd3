package consensus

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

// After a restart, a host grants no vote for electionTimeoutMin, because it may have
// renewed a leader's lease just before. If all hosts lose power together, that wait
// is not needed: a lease ends with the process of the leader that holds it. So an
// election may start as soon as every host that could hold a lease has answered
// that it has neither led nor heard from a leader since its own start.
//
// Which hosts could hold one: a leader with a valid lease has committed an entry of
// its term. A candidate that wins has that entry in its log, and the leader belonged
// to the membership in force there. The leader can only have left that membership
// by a later entry, and once it has committed such an entry it no longer leads. So
// it is named in a membership entry that the candidate still has in memory, or in
// the one that preceded them.

// electAfterRestart campaigns as soon as all hosts have been restarted. It returns
// when a leader is known, or after restartProbeLimit.
func (n *Node) electAfterRestart(ctx context.Context) {
	limit := time.Now().Add(restartProbeLimit)
	for n.isRestarted() && time.Now().Before(limit) {
		if n.allRestarted(ctx) {
			n.campaignAfterRestart(ctx)
		}
		if !pause.For(ctx, restartProbeInterval) {
			return
		}
	}
}

// isRestarted reports whether this host has a log and knows no leader since its
// start.
func (n *Node) isRestarted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.restarted && !n.logEmptyLocked()
}

// allRestarted asks all hosts that could hold a lease, and reports whether all of
// them have been restarted and this host is the one that should campaign: the first
// by name of those with the most up to date log.
func (n *Node) allRestarted(ctx context.Context) bool {
	n.mu.Lock()
	round := n.voteRoundLocked(n.term+1, true)
	others := n.possibleLeadersLocked()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, restartProbeTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	answers := make(chan bool, len(others))
	for _, m := range others {
		group.Go(func() {
			response := n.requestVote(ctx, m, round.request)
			answers <- response.GetRestarted() && !precedes(m.Name, response, round.request)
		})
	}
	for range others {
		if !<-answers {
			return false
		}
	}
	return true
}

// precedes reports whether the host that sent the response should campaign rather
// than the candidate of the request.
func precedes(name string, response *pb.RequestVoteResponse, r *pb.RequestVoteRequest) bool {
	switch {
	case response.LastTerm != r.LastTerm:
		return response.LastTerm > r.LastTerm
	case response.LastIndex != r.LastIndex:
		return response.LastIndex > r.LastIndex
	default:
		return name < r.Candidate
	}
}

// possibleLeadersLocked returns the other hosts that are named in a membership that
// this host has in memory.
func (n *Node) possibleLeadersLocked() []*pb.Member {
	byName := make(map[string]*pb.Member)
	add := func(members *pb.Membership) {
		for _, m := range members.GetMembers() {
			if m.Name != n.options.Name {
				byName[m.Name] = m
			}
		}
	}
	add(n.log.baseMembers)
	for _, e := range n.log.entries {
		add(e.GetMembership())
	}
	add(n.members)
	hosts := make([]*pb.Member, 0, len(byName))
	for _, m := range byName {
		hosts = append(hosts, m)
	}
	return hosts
}

// campaignAfterRestart runs an election that need not wait for leases to end.
func (n *Node) campaignAfterRestart(ctx context.Context) {
	n.metrics.Counter("restart_campaigns_total").Inc(1)
	n.logger.Info("all control hosts have been restarted; this host campaigns without waiting for leases to end")
	preVote := n.preVoteRound()
	preVote.request.AllRestarted = true
	n.elect(ctx, preVote)
}

// leaseForbidsVoteLocked reports whether a leader may hold a lease, so that this host
// must not vote as the request asks. See the comment at the top of this file for the
// exception.
func (n *Node) leaseForbidsVoteLocked(r *pb.RequestVoteRequest) bool {
	return n.leaderMayHoldLeaseLocked() && !(r.AllRestarted && n.restarted)
}
