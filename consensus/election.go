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

// formationIndex is the index of the entry that records the first membership
// with the incarnations of its members. A host with an empty log can't tell
// whether it is new or was wiped, so it votes only for a candidate whose log
// ends at or before this entry, and such a candidate needs the votes of all
// members. The leader appends nothing after this entry until all members hold
// it. So the vote of a wiped host can't lose an entry that was committed later.
const formationIndex = 1

func (n *Node) startElectionTimeoutLocked() {
	// Just before a restart, this host may have answered a heartbeat and so
	// renewed a leader's lease.
	n.leaderContactAt = bootclock.Now()
	n.resetElectionTimeoutLocked()
	if n.logEmptyLocked() {
		n.leaderContactAt = time.Time{}
	}
	if n.isOnlyVoterLocked() {
		n.leaderContactAt = time.Time{}
		n.electionDeadline = time.Now()
	}
}

func (n *Node) resetElectionTimeoutLocked() {
	timeout := electionTimeoutMin + rand.N(electionTimeoutMax-electionTimeoutMin)
	n.electionDeadline = time.Now().Add(timeout)
}

// logEmptyLocked reports whether this host's log is empty: it has not taken part
// in forming a cluster, or it was wiped.
func (n *Node) logEmptyLocked() bool { return n.log.lastIndex() == 0 }

// canVoteLocked reports whether this host may vote: the membership names it as a
// voter with the incarnation of its data folder, and its disk can store the vote.
// A wiped host that returns under its old name has another incarnation.
func (n *Node) canVoteLocked() bool {
	self := findMember(n.members, n.options.Name)
	if n.storageErr != nil || n.diskFull || n.closed || self == nil || !self.Voter {
		return false
	}
	return n.logEmptyLocked() || self.Incarnation == n.incarnation
}

func (n *Node) isOnlyVoterLocked() bool {
	return n.canVoteLocked() && len(voters(n.members)) == 1
}

// mayCampaignLocked reports whether this host may be a candidate. To form a
// cluster, a candidate needs the votes of all members. So only the member with
// the lowest name campaigns then, and votes can't be split.
func (n *Node) mayCampaignLocked() bool {
	if !n.canVoteLocked() {
		return false
	}
	return !n.logEmptyLocked() || lowestName(n.members) == n.options.Name
}

// leaderMayHoldLeaseLocked reports whether a leader may still hold a lease that
// this host's response has renewed. While it may, this host grants no vote.
func (n *Node) leaderMayHoldLeaseLocked() bool {
	if n.role == roleLeader {
		return n.leaseValidLocked()
	}
	return bootclock.Since(n.leaderContactAt) < electionTimeoutMin
}

// runElections starts an election when the election timeout passes without a
// leader's request, and makes this host step down from leading when no quorum
// answers it.
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
	return max(time.Until(n.electionDeadline), time.Millisecond)
}

func (n *Node) electionDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.role == roleLeader {
		n.stepDownWithoutQuorumLocked()
		return false
	}
	if time.Until(n.electionDeadline) > 0 {
		return false
	}
	n.resetElectionTimeoutLocked()
	return n.mayCampaignLocked()
}

// voteRound is one round of vote or pre-vote requests to all voters.
type voteRound struct {
	request *pb.RequestVoteRequest
	members *pb.Membership
	needed  int
}

// campaign runs a pre-vote and, if this host could win, an election. Without the
// pre-vote, a host that was partitioned from a working cluster would raise the
// term when it returns, and the leader would step down.
func (n *Node) campaign(ctx context.Context) {
	n.metrics.Counter("campaigns_total").Inc(1)
	preVote := n.preVoteRound()
	if !n.collectVotes(ctx, preVote) {
		return
	}
	n.elect(ctx, preVote)
}

// elect runs the election that follows a pre-vote.
func (n *Node) elect(ctx context.Context, preVote *voteRound) {
	election, op := n.startElection(preVote)
	if election == nil || n.awaitDisk(ctx, op) != nil {
		return
	}
	if n.collectVotes(ctx, election) {
		n.becomeLeader(election.request.Term)
	}
}

func (n *Node) preVoteRound() *voteRound {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.voteRoundLocked(n.term+1, true)
}

func (n *Node) voteRoundLocked(term uint64, preVote bool) *voteRound {
	round := &voteRound{members: n.members}
	round.request = &pb.RequestVoteRequest{
		Term:      term,
		Candidate: n.options.Name,
		LastIndex: n.log.lastIndex(),
		LastTerm:  n.log.lastTerm(),
		PreVote:   preVote,
	}
	round.needed = len(voters(n.members))/2 + 1
	if round.request.LastIndex <= formationIndex {
		round.needed = len(voters(n.members))
	}
	return round
}

// startElection raises the term, votes for this host and returns the round of
// vote requests, with the disk operation that syncs the vote. It returns nil if,
// since the pre-vote, the term has changed, a leader has sent a request or this
// host may no longer campaign.
func (n *Node) startElection(preVote *voteRound) (*voteRound, *diskOp) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stale := n.term+1 != preVote.request.Term || n.role == roleLeader
	if stale || n.leaseForbidsVoteLocked(preVote.request) || !n.mayCampaignLocked() {
		return nil, nil
	}
	n.role = roleCandidate
	n.leader = ""
	n.setHardStateLocked(n.term+1, n.options.Name)
	n.resetElectionTimeoutLocked()
	election := n.voteRoundLocked(n.term, false)
	election.request.AllRestarted = preVote.request.AllRestarted
	return election, n.hardStateOp
}

// collectVotes asks all other voters concurrently and reports whether enough
// votes were granted within voteTimeout, this host's own included.
func (n *Node) collectVotes(ctx context.Context, round *voteRound) bool {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	others := otherVoters(round.members, n.options.Name)
	answers := make(chan bool, len(others))
	for _, m := range others {
		group.Go(func() {
			response := n.requestVote(ctx, m, round.request)
			answers <- response.GetGranted()
		})
	}
	granted := 1
	for range others {
		if granted >= round.needed {
			break
		}
		if <-answers {
			granted++
		}
	}
	// The outcome is known, so calls that are still in progress are cancelled.
	cancel()
	return granted >= round.needed
}

// requestVote returns a host's answer, or nil if there is none.
func (n *Node) requestVote(ctx context.Context, m *pb.Member, request *pb.RequestVoteRequest) *pb.RequestVoteResponse {
	n.mu.Lock()
	client := n.clientLocked(m.Address)
	n.mu.Unlock()
	response, err := client.RequestVote(ctx, connect.NewRequest(request))
	if err != nil {
		return nil
	}
	n.observeTerm(response.Msg.Term)
	return response.Msg
}

// observeTerm adopts a term that is higher than this host's and makes it a
// follower.
func (n *Node) observeTerm(term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term > n.term {
		n.adoptTermLocked(term, "")
	}
}

// adoptTermLocked makes this host a follower in the given term, with an empty
// vote if the term is higher than its own. leader is empty if not known.
func (n *Node) adoptTermLocked(term uint64, leader string) {
	if term > n.term {
		n.setHardStateLocked(term, "")
	}
	n.becomeFollowerLocked(leader)
}

// becomeFollowerLocked ends a leadership or candidacy. leader is empty if not
// known.
func (n *Node) becomeFollowerLocked(leader string) {
	if n.role == roleLeader {
		n.endLeadershipLocked()
	}
	if leader != "" && leader != n.leader {
		n.logger.Info("this host follows a leader", "leader", leader, "term", n.term)
	}
	n.role = roleFollower
	n.leader = leader
}

// RequestVote implements ConsensusService. It answers a candidate once the term
// and the vote that the response reports are synced.
func (s *service) RequestVote(ctx context.Context, request *connect.Request[pb.RequestVoteRequest]) (*connect.Response[pb.RequestVoteResponse], error) {
	n := s.n
	n.mu.Lock()
	granted := n.decideVoteLocked(request.Msg)
	response := &pb.RequestVoteResponse{
		Term:      n.term,
		Granted:   granted,
		Restarted: n.restarted,
		LastIndex: n.log.lastIndex(),
		LastTerm:  n.log.lastTerm(),
	}
	op := n.hardStateOp
	n.mu.Unlock()
	if err := n.awaitDisk(ctx, op); err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(response), nil
}

// decideVoteLocked reports whether this host grants a vote or pre-vote. For a
// vote it adopts a higher term and records the vote that it grants; the caller
// waits for n.hardStateOp before it answers. A pre-vote changes nothing.
func (n *Node) decideVoteLocked(r *pb.RequestVoteRequest) bool {
	if !n.canVoteLocked() || n.leaseForbidsVoteLocked(r) || r.Term < n.term {
		return false
	}
	if r.PreVote {
		return n.candidateUpToDateLocked(r) && (r.Term > n.term || n.mayVoteForLocked(r.Candidate))
	}
	if r.Term > n.term {
		n.adoptTermLocked(r.Term, "")
	}
	if !n.candidateUpToDateLocked(r) || !n.mayVoteForLocked(r.Candidate) {
		return false
	}
	n.resetElectionTimeoutLocked()
	if n.votedFor != r.Candidate {
		n.setHardStateLocked(n.term, r.Candidate)
	}
	return true
}

func (n *Node) mayVoteForLocked(candidate string) bool {
	return n.votedFor == "" || n.votedFor == candidate
}

// candidateUpToDateLocked reports whether the candidate's log is at least as
// up to date as this host's: a higher last term wins, then a higher last index.
// If this host's log is empty, see formationIndex.
func (n *Node) candidateUpToDateLocked(r *pb.RequestVoteRequest) bool {
	if n.logEmptyLocked() {
		return r.LastIndex <= formationIndex
	}
	if r.LastTerm != n.log.lastTerm() {
		return r.LastTerm > n.log.lastTerm()
	}
	return r.LastIndex >= n.log.lastIndex()
}
