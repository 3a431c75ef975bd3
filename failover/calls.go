package failover

import (
	"context"
	"math"
	"time"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// call is what one upstream is asked on a fresh connection.
type call func(ctx context.Context, conn upstream.Conn) (upstream.Status, error)

// reply is the outcome of a call. After an error, fenced tells the highest
// term that the upstream has promised to, if it still answered that.
type reply struct {
	name   string
	status upstream.Status
	fenced upstream.Term
	err    error
}

// ask calls upstreams in parallel and returns the replies that arrived until
// all have answered, or until stop says that the rest need not be waited for.
// Calls that are still running end within callTimeout of their start.
func (s *Supervisor) ask(ctx context.Context, targets []*pb.Upstream, do call, until stop) ([]reply, error) {
	if !s.journal.Leading() {
		return nil, &NotLeading{}
	}
	arriving := make(chan reply, len(targets))
	for _, u := range targets {
		s.running.Go(func() { arriving <- s.askOne(ctx, u, do) })
	}
	var replies []reply
	var late <-chan time.Time
	ok := 0
	for len(replies) < len(targets) {
		select {
		case r := <-arriving:
			replies = append(replies, r)
			if r.err == nil && r.name != until.except {
				ok++
			}
		case <-late:
			return replies, nil
		}
		if late == nil && ok >= until.enough {
			late = time.After(until.extra)
		}
	}
	return replies, nil
}

// stop says when ask need not wait for the remaining upstreams: enough have
// done what they were asked, not counting except, and extra has passed since.
type stop struct {
	enough int
	except string
	extra  time.Duration
}

// never makes ask wait for every upstream.
var never = stop{enough: math.MaxInt}

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
		return reply{name: u.GetName(), status: status, fenced: promised(status)}
	}
	// A refusal does not say which term the upstream is fenced at.
	after, statusErr := conn.Status(ctx)
	if statusErr != nil {
		return reply{name: u.GetName(), err: err}
	}
	return reply{name: u.GetName(), status: after, fenced: promised(after), err: err}
}

// promised is the highest term that a server is bound to.
func promised(status upstream.Status) upstream.Term { return max(status.Fenced, status.Term) }

func askStatus(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
	return conn.Status(ctx)
}

func askFence(term upstream.Term) call {
	return func(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
		status, err := conn.Fence(ctx, term)
		if err == nil && status.Fenced < term {
			err = &CallRefused{Call: "fence", Fenced: uint64(status.Fenced)}
		}
		return status, err
	}
}

func askPromote(term upstream.Term) call {
	return func(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
		status, err := conn.Promote(ctx, term)
		if err == nil && (status.Role != upstream.RolePrimary || status.Term != term) {
			err = &CallRefused{Call: "become primary", Fenced: uint64(status.Fenced)}
		}
		return status, err
	}
}

// askFollow fences first, so that an old primary accepts nothing more even if
// the second call is lost.
func askFollow(term upstream.Term, address string) call {
	return func(ctx context.Context, conn upstream.Conn) (upstream.Status, error) {
		if status, err := conn.Fence(ctx, term); err != nil {
			return status, err
		}
		return conn.Follow(ctx, term, address)
	}
}

func highestFence(replies []reply) upstream.Term {
	var highest upstream.Term
	for _, r := range replies {
		highest = max(highest, r.fenced)
	}
	return highest
}

func succeeded(replies []reply) []reply {
	var good []reply
	for _, r := range replies {
		if r.err == nil {
			good = append(good, r)
		}
	}
	return good
}
