package consensus

import (
	"context"

	"connectrpc.com/connect"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

// ReadIndex implements Log. It waits up to 2 s for a leader, and then until ctx
// ends for this host to apply the entries. Its errors are *fault.NotRun.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	var index uint64
	err := n.retryUntilLeader(ctx, func() error {
		var err error
		index, err = n.readIndexOnce(ctx)
		return err
	})
	if err == nil {
		err = n.awaitApplied(ctx, index)
	}
	n.countOutcome("read_indexes", err)
	return index, err
}

func (n *Node) readIndexOnce(ctx context.Context) (uint64, error) {
	if err := n.Err(); err != nil {
		return 0, &fault.NotRun{Reason: ReasonStorage, Detail: err.Error()}
	}
	client, ok := n.leaderClient()
	if !ok {
		return n.readIndexLocal()
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := client.ReadIndex(ctx, connect.NewRequest(&pb.ReadIndexRequest{}))
	if err != nil {
		// A read has no effect, so a lost response counts as not run.
		return 0, noLeader("leader not reachable: " + err.Error())
	}
	return response.Msg.Index, nil
}

// readIndexLocal returns the commit index if this host leads with a valid lease.
// While the lease is valid, no other host can have committed more.
func (n *Node) readIndexLocal() (uint64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkLeadingLocked(); err != nil {
		return 0, err
	}
	return n.commitIndex, nil
}

// ReadIndex implements ConsensusService. It returns the commit index to another
// member, and fails if this host doesn't lead.
func (s *service) ReadIndex(context.Context, *connect.Request[pb.ReadIndexRequest]) (*connect.Response[pb.ReadIndexResponse], error) {
	index, err := s.n.readIndexLocal()
	if err != nil {
		return nil, toWire(err)
	}
	return connect.NewResponse(&pb.ReadIndexResponse{Index: index}), nil
}

func (n *Node) awaitApplied(ctx context.Context, index uint64) error {
	for {
		applied, changed := n.Applied()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return cancelled(ctx)
		case <-n.ctx.Done():
			return hostStopping()
		}
	}
}

// Applied implements Log.
func (n *Node) Applied() (index uint64, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastApplied, n.appliedCh
}
