package failover

import (
	"context"
	"math"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// call is a request to one upstream, made on a new connection.
type call func(ctx context.Context, conn upstream.Conn) (upstream.Status, error)

// reply is the outcome of a call to one upstream. boundTerm is the highest term
// that the upstream is bound to. After an error it comes from a status call that
// followed, and is zero if that failed, too.
type reply struct {
	name      string
	status    upstream.Status
	boundTerm upstream.Term
	err       error
}

// ask calls upstreams in parallel and returns their replies. It returns when all
// have replied or when the stop condition is met; calls that are still running
// then end within callTimeout of their start. It fails with *NotLeading, without
// any call, if the leader's term has ended.
func (s *Supervisor) ask(ctx context.Context, targets []*pb.Upstream, do call, until stopCondition) ([]reply, error) {
	if !s.journal.Leading() {
		return nil, &NotLeading{}
	}
	incoming := make(chan reply, len(targets))
	for _, u := range targets {
		s.running.Go(func() { incoming <- s.askOne(ctx, u, do) })
	}
	var replies []reply
	var delayOver <-chan time.Time
	successes := 0
	for len(replies) < len(targets) {
		select {
		case r := <-incoming:
			replies = append(replies, r)
			if r.err == nil && r.name != until.uncounted {
				successes++
			}
		case <-delayOver:
			return replies, nil
		}
		if delayOver == nil && successes >= until.minSucceeded {
			delayOver = time.After(until.delay)
		}
	}
	return replies, nil
}

// stopCondition says when ask returns without the remaining replies: minSucceeded
// upstreams, not counting the one named uncounted, have replied without an error,
// and delay has passed since.
type stopCondition struct {
	minSucceeded int
	uncounted    string
	delay        time.Duration
}

// waitForAll makes ask wait for the reply of every upstream.
var waitForAll = stopCondition{minSucceeded: math.MaxInt}

func (s *Supervisor) askOne(ctx context.Context, u *pb.Upstream, do call) reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := s.dialer.Dial(ctx, u.GetAddress(), u.GetDatabase())
	if err != nil {
		return reply{name: u.GetName(), err: err}
	}
	defer conn.Close()
	status, err := do(ctx, conn)
	if err == nil {
		return reply{name: u.GetName(), status: status, boundTerm: boundTerm(status)}
	}
	// The error does not say at which term the upstream is fenced, so its
	// status is read on the same connection.
	after, statusErr := conn.Status(ctx)
	if statusErr != nil {
		return reply{name: u.GetName(), err: err}
	}
	return reply{name: u.GetName(), status: after, boundTerm: boundTerm(after), err: err}
}

// boundTerm returns the highest term that an upstream is bound to: it refuses
// calls at lower terms.
func boundTerm(status upstream.Status) upstream.Term { return max(status.FencedTerm, status.Term) }

func askStatus(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
	return conn.Status(ctx)
}

func askFence(term upstream.Term) call {
	return func(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
		status, err := conn.Fence(ctx, term)
		if err == nil && status.FencedTerm < term {
			err = &CallRefused{Call: "fence", Fenced: uint64(status.FencedTerm)}
		}
		return status, err
	}
}

func askPromote(term upstream.Term) call {
	return func(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
		status, err := conn.Promote(ctx, term)
		if err == nil && (status.Role != upstream.RolePrimary || status.Term != term) {
			err = &CallRefused{Call: "become primary", Fenced: uint64(status.FencedTerm)}
		}
		return status, err
	}
}

// askFollow fences the upstream before it orders it to follow, so that an old
// primary accepts no more writes even if the second call is lost.
func askFollow(term upstream.Term, address string) call {
	return func(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
		if status, err := conn.Fence(ctx, term); err != nil {
			return status, err
		}
		return conn.Follow(ctx, term, address)
	}
}

func highestBoundTerm(replies []reply) upstream.Term {
	var highest upstream.Term
	for _, r := range replies {
		highest = max(highest, r.boundTerm)
	}
	return highest
}

func succeeded(replies []reply) []reply {
	var withoutError []reply
	for _, r := range replies {
		if r.err == nil {
			withoutError = append(withoutError, r)
		}
	}
	return withoutError
}
