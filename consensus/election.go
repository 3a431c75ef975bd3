package consensus

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/sourcegraph/conc"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

// formationIndex is the entry that records the first membership with the
// incarnations of its members. A host with an empty log can't tell whether it
// is new or was wiped, so it votes only for a candidate whose log ends at or
// before this entry, and such a candidate needs the votes of all members. The
// leader logs nothing after this entry until all members hold it. So nothing
// that was committed later can be lost by the vote of a wiped host.
const formationIndex = 1

func (n *Node) startTimersLocked() {
	// Before the restart this host may have answered a leader's heartbeat.
	n.heardAt = bootclock.Now()
	n.resetElectionLocked()
	if n.formingLocked() {
		n.heardAt = time.Time{}
	}
	if n.isOnlyVoterLocked() {
		n.heardAt = time.Time{}
		n.electionAt = time.Now()
	}
}

func (n *Node) resetElectionLocked() {
	timeout := electionTimeoutMin + rand.N(electionTimeoutMax-electionTimeoutMin)
	n.electionAt = time.Now().Add(timeout)
}

// formingLocked reports that this host's log is empty.
func (n *Node) formingLocked() bool { return n.log.lastIndex() == 0 }

// canVoteLocked reports whether this host is a voter under the incarnation of
// its data folder. A wiped host that returns under its name is not.
func (n *Node) canVoteLocked() bool {
	self := findMember(n.members, n.options.Name)
	if n.failed != nil || n.closed || self == nil || !self.Voter {
		return false
	}
	return n.formingLocked() || self.Incarnation == n.incarnation
}

func (n *Node) isOnlyVoterLocked() bool {
	return n.canVoteLocked() && len(voters(n.members)) == 1
}

// mayCampaignLocked: forming needs all members, so one of them is enough to
// campaign, and votes are never split.
func (n *Node) mayCampaignLocked() bool {
	if !n.canVoteLocked() {
		return false
	}
	return !n.formingLocked() || firstName(n.members) == n.options.Name
}

// heardLeaderLocked reports whether a leader may still hold a lease that this
// host's answer has renewed.
func (n *Node) heardLeaderLocked() bool {
	if n.role == roleLeader {
		return n.leaseValidLocked()
	}
	return bootclock.Since(n.heardAt) < electionTimeoutMin
}

// runElections campaigns when no leader is heard, and makes a leader step down
// when it hears from no quorum.
func (n *Node) runElections(ctx context.Context) {
	for pause.For(ctx, n.untilElection()) {
		if n.electionDue() {
			n.campaign(ctx)
		}
	}
}

func (n *Node) untilElection() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == roleLeader {
		return leaseCheckInterval
	}
	return max(time.Until(n.electionAt), time.Millisecond)
}

func (n *Node) electionDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == roleLeader {
		n.stepDownIfAloneLocked()
		return false
	}
	if time.Until(n.electionAt) > 0 {
		return false
	}
	n.resetElectionLocked()
	return n.mayCampaignLocked()
}

// ballot is one round of requests for votes.
type ballot struct {
	request *pb.RequestVoteRequest
	members *pb.Membership
	needed  int
}

// campaign asks first whether an election could be won, so that a host that
// was cut off doesn't raise the term of a working cluster when it returns.
func (n *Node) campaign(ctx context.Context) {
	n.metrics.Counter("campaigns_total").Inc(1)
	pre := n.preBallot()
	if !n.collect(ctx, pre) {
		return
	}
	real, op := n.realBallot(pre)
	if real == nil || n.awaitDisk(ctx, op) != nil {
		return
	}
	if n.collect(ctx, real) {
		n.becomeLeader(real.request.Term)
	}
}

func (n *Node) preBallot() *ballot {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ballotLocked(n.term+1, true)
}

func (n *Node) ballotLocked(term uint64, pre bool) *ballot {
	b := &ballot{members: n.members}
	b.request = &pb.RequestVoteRequest{
		Term:      term,
		Candidate: n.options.Name,
		LastIndex: n.log.lastIndex(),
		LastTerm:  n.log.lastTerm(),
		PreVote:   pre,
	}
	b.needed = len(voters(n.members))/2 + 1
	if b.request.LastIndex <= formationIndex {
		b.needed = len(voters(n.members))
	}
	return b
}

// realBallot votes for this host, unless a leader was heard or the term has
// changed since the pre-vote.
func (n *Node) realBallot(pre *ballot) (*ballot, *diskOp) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stale := n.term+1 != pre.request.Term || n.role == roleLeader
	if stale || n.heardLeaderLocked() || !n.mayCampaignLocked() {
		return nil, nil
	}
	n.role = roleCandidate
	n.leader = ""
	n.setHardStateLocked(n.term+1, n.options.Name)
	n.resetElectionLocked()
	return n.ballotLocked(n.term, false), n.hardOp
}

// collect asks all voters at the same time and reports whether enough of them
// granted the request. It counts this host's own vote.
func (n *Node) collect(ctx context.Context, b *ballot) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	others := otherVoters(b.members, n.options.Name)
	answers := make(chan bool, len(others))
	for _, m := range others {
		group.Go(func() { answers <- n.requestVote(ctx, m, b.request) })
	}
	granted := 1
	for range others {
		if granted >= b.needed {
			break
		}
		if <-answers {
			granted++
		}
	}
	// Late answers are not needed.
	cancel()
	return granted >= b.needed
}

func (n *Node) requestVote(ctx context.Context, m *pb.Member, request *pb.RequestVoteRequest) bool {
	n.mu.Lock()
	client := n.clientLocked(m.Address)
	n.mu.Unlock()
	response, err := client.RequestVote(ctx, connect.NewRequest(request))
	if err != nil {
		return false
	}
	n.observeTerm(response.Msg.Term)
	return response.Msg.Granted
}

// observeTerm follows a term that is higher than this host's.
func (n *Node) observeTerm(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term > n.term {
		n.followTermLocked(term, "")
	}
}

func (n *Node) followTermLocked(term uint64, leader string) {
	if term > n.term {
		n.setHardStateLocked(term, "")
	}
	n.followLocked(leader)
}

// followLocked ends a leadership or candidacy.
func (n *Node) followLocked(leader string) {
	if n.role == roleLeader {
		n.endLeadershipLocked()
	}
	if leader != "" && leader != n.leader {
		n.logger.Info("following a leader", "leader", leader, "term", n.term)
	}
	n.role = roleFollower
	n.leader = leader
}

// RequestVote answers a candidate once the vote is synced.
func (s *service) RequestVote(ctx context.Context, request *connect.Request[pb.RequestVoteRequest]) (*connect.Response[pb.RequestVoteResponse], error) {
	n := s.n
	n.mu.Lock()
	granted := n.considerVoteLocked(request.Msg)
	term, op := n.term, n.hardOp
	n.mu.Unlock()
	if err := n.awaitDisk(ctx, op); err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&pb.RequestVoteResponse{Term: term, Granted: granted}), nil
}

func (n *Node) considerVoteLocked(r *pb.RequestVoteRequest) bool {
	if !n.canVoteLocked() || n.heardLeaderLocked() || r.Term < n.term {
		return false
	}
	if r.PreVote {
		return n.logAllowsLocked(r) && (r.Term > n.term || n.voteFreeLocked(r.Candidate))
	}
	if r.Term > n.term {
		n.followTermLocked(r.Term, "")
	}
	if !n.logAllowsLocked(r) || !n.voteFreeLocked(r.Candidate) {
		return false
	}
	n.resetElectionLocked()
	if n.votedFor != r.Candidate {
		n.setHardStateLocked(n.term, r.Candidate)
	}
	return true
}

func (n *Node) voteFreeLocked(candidate string) bool {
	return n.votedFor == "" || n.votedFor == candidate
}

// logAllowsLocked compares the candidate's log with this host's.
func (n *Node) logAllowsLocked(r *pb.RequestVoteRequest) bool {
	if n.formingLocked() {
		return r.LastIndex <= formationIndex
	}
	if r.LastTerm != n.log.lastTerm() {
		return r.LastTerm > n.log.lastTerm()
	}
	return r.LastIndex >= n.log.lastIndex()
}
