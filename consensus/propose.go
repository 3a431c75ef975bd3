package consensus

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

// Propose implements Log. It waits up to 2 s for a leader. Errors are
// *fault.NotRun (the command was not and will not be committed),
// *fault.OutcomeUnknown and *fault.Invalid.
func (n *Node) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > maxCommandBytes {
		return nil, &fault.Invalid{
			Field:   "command",
			Value:   strconv.Itoa(len(command)) + " bytes",
			Allowed: "at most " + strconv.Itoa(maxCommandBytes) + " bytes",
		}
	}
	var result []byte
	err := n.retryUntilLeader(ctx, func() error {
		var err error
		result, _, err = n.proposeOnce(ctx, command)
		return err
	})
	n.countOutcome("proposals", err)
	return result, err
}

// retryUntilLeader repeats a call, for up to leaderWaitMax, while it fails because
// no leader can be reached. Such a call was refused before anything was appended
// to the log, so it is safe to repeat.
func (n *Node) retryUntilLeader(ctx context.Context, call func() error) error {
	deadline := time.Now().Add(leaderWaitMax)
	for {
		err := call()
		if !isNoLeader(err) || time.Now().After(deadline) {
			return err
		}
		wait := leaderPollMax/2 + rand.N(leaderPollMax/2)
		if !pause.For(ctx, wait) || n.ctx.Err() != nil {
			return err
		}
	}
}

// countOutcome counts a finished operation under its outcome: ok, the reason of
// the error, or invalid.
func (n *Node) countOutcome(operation string, err error) {
	n.metrics.Tagged(map[string]string{"outcome": outcomeName(err)}).Counter(operation + "_total").Inc(1)
}

func outcomeName(err error) string {
	switch e := err.(type) {
	case nil:
		return "ok"
	case *fault.NotRun:
		return string(e.Reason)
	case *fault.OutcomeUnknown:
		return string(e.Reason)
	default:
		return "invalid"
	}
}

// proposeOnce proposes a command through the leader, without a retry. It returns
// the result and the index of the entry.
func (n *Node) proposeOnce(ctx context.Context, command []byte) ([]byte, uint64, error) {
	client, ok := n.leaderClient()
	if !ok {
		e := &pb.Entry{Payload: &pb.Entry_Command{Command: command}}
		return n.proposeLocal(ctx, e)
	}
	response, err := client.Forward(ctx, connect.NewRequest(&pb.ForwardRequest{Command: command}))
	if err != nil {
		return nil, 0, fromWire(ctx, err, "")
	}
	return response.Msg.Result, response.Msg.Index, nil
}

// Forward implements ConsensusService. It proposes a command that another member
// has forwarded, and fails if this host doesn't lead.
func (s *service) Forward(ctx context.Context, request *connect.Request[pb.ForwardRequest]) (*connect.Response[pb.ForwardResponse], error) {
	e := &pb.Entry{Payload: &pb.Entry_Command{Command: request.Msg.Command}}
	result, index, err := s.n.proposeLocal(ctx, e)
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&pb.ForwardResponse{Result: result, Index: index}), nil
}

// proposeLocal appends an entry if this host leads, and waits until the entry is
// applied here. It returns the result and the index of the entry.
func (n *Node) proposeLocal(ctx context.Context, e *pb.Entry) ([]byte, uint64, error) {
	w, err := n.appendProposal(e)
	if err != nil {
		return nil, 0, err
	}
	select {
	case o := <-w.done:
		return o.result, e.Index, o.err
	case <-ctx.Done():
		return nil, 0, outcomeUnknown("not committed in time", context.Cause(ctx))
	case <-n.ctx.Done():
		return nil, 0, outcomeUnknown("this host is stopping", nil)
	}
}

func (n *Node) appendProposal(e *pb.Entry) (*waiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkLeadingLocked(); err != nil {
		return nil, err
	}
	if n.log.lastIndex()-n.commitIndex >= maxUncommittedEntries {
		return nil, &fault.NotRun{Reason: fault.ReasonQueueFull, Detail: "too many proposals", RetryAfter: retryDelay}
	}
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	return n.appendWithWaiterLocked(e), nil
}

func (n *Node) appendWithWaiterLocked(e *pb.Entry) *waiter {
	w := &waiter{term: e.Term, done: make(chan outcome, 1)}
	n.leadership.waiters[e.Index] = w
	n.appendLocked(e)
	n.wakePeersLocked()
	return w
}

// completeProposalLocked passes the result of an applied entry to the call that
// waits for it, if there is one. If the entry's term isn't that of the proposal,
// another leader's entry was committed at its index.
func (n *Node) completeProposalLocked(e *pb.Entry, result []byte) {
	if n.leadership == nil {
		return
	}
	w, ok := n.leadership.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.leadership.waiters, e.Index)
	if w.term != e.Term {
		detail := "another leader's entry took the place"
		w.done <- outcome{err: &fault.NotRun{Reason: ReasonReplaced, Detail: detail}}
		return
	}
	w.done <- outcome{result: result}
}
