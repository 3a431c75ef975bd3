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
	err := n.withLeader(ctx, func() error {
		var err error
		result, _, err = n.proposeOnce(ctx, command)
		return err
	})
	n.countOutcome("proposals", err)
	return result, err
}

// withLeader runs a call again while it fails for want of a leader. Such a
// call was refused before it was logged, so the first try has no effect.
func (n *Node) withLeader(ctx context.Context, call func() error) error {
	deadline := time.Now().Add(leaderWait)
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

func (n *Node) countOutcome(what string, err error) {
	n.metrics.Tagged(map[string]string{"outcome": outcomeName(err)}).Counter(what + "_total").Inc(1)
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

// Forward proposes a command for another member, if this host leads.
func (s *service) Forward(ctx context.Context, request *connect.Request[pb.ForwardRequest]) (*connect.Response[pb.ForwardResponse], error) {
	e := &pb.Entry{Payload: &pb.Entry_Command{Command: request.Msg.Command}}
	result, index, err := s.n.proposeLocal(ctx, e)
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&pb.ForwardResponse{Result: result, Index: index}), nil
}

// proposeLocal logs an entry on this host if it leads, and waits until it is
// applied.
func (n *Node) proposeLocal(ctx context.Context, e *pb.Entry) ([]byte, uint64, error) {
	w, err := n.logProposal(e)
	if err != nil {
		return nil, 0, err
	}
	select {
	case o := <-w.done:
		return o.result, e.Index, o.err
	case <-ctx.Done():
		return nil, 0, unknown("not committed in time", context.Cause(ctx))
	case <-n.ctx.Done():
		return nil, 0, unknown("this host is stopping", nil)
	}
}

func (n *Node) logProposal(e *pb.Entry) (*waiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.leadingLocked(); err != nil {
		return nil, err
	}
	if n.log.lastIndex()-n.commit >= maxPending {
		return nil, &fault.NotRun{Reason: fault.ReasonQueueFull, Detail: "too many proposals", RetryAfter: retryDelay}
	}
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	return n.appendWithWaiterLocked(e), nil
}

func (n *Node) appendWithWaiterLocked(e *pb.Entry) *waiter {
	w := &waiter{term: e.Term, done: make(chan outcome, 1)}
	n.lead.waiters[e.Index] = w
	n.appendLocked(e)
	n.wakePeersLocked()
	return w
}

// answerLocked gives the result of an applied entry to its proposer.
func (n *Node) answerLocked(e *pb.Entry, result []byte) {
	if n.lead == nil {
		return
	}
	w, ok := n.lead.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.lead.waiters, e.Index)
	if w.term != e.Term {
		detail := "another leader's entry took the place"
		w.done <- outcome{err: &fault.NotRun{Reason: ReasonReplaced, Detail: detail}}
		return
	}
	w.done <- outcome{result: result}
}
