package sitecontrol

import (
	"context"
	"time"
)

const (
	// confirmInterval is how long a confirmation of this host's state is passed
	// on to proxies before the next quorum read, so that the reads do not grow
	// with the number of proxies.
	confirmInterval = 400 * time.Millisecond
	// confirmTimeout bounds a quorum read for a report. Proxies wait longer for
	// the answer to their reports.
	confirmTimeout = 300 * time.Millisecond
)

// confirmation says that this host's state held every change that was committed
// before begunAt, the last of them at index. The zero value says nothing.
type confirmation struct {
	index   uint64
	begunAt time.Time
}

// confirmState returns the newest confirmation of this host's state, after a
// quorum read if it is due. All calls share one read.
func (s *Server) confirmState(ctx context.Context) confirmation {
	c := s.lastConfirmation()
	if now().Sub(c.begunAt) < confirmInterval {
		return c
	}
	if _, _, ok := s.options.Consensus.Leader(); !ok {
		return c
	}
	_, _, _ = s.confirming.Do("", func() (any, error) {
		s.readForConfirmation(ctx)
		return nil, nil
	})
	return s.lastConfirmation()
}

func (s *Server) lastConfirmation() confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// readForConfirmation records a confirmation if a quorum read succeeds. The read
// serves other callers too, so it does not end with the one that began it.
func (s *Server) readForConfirmation(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	begunAt := now()
	if _, err := s.options.Consensus.ReadIndex(ctx); err != nil {
		s.metrics.Counter("confirmations_failed_total").Inc(1)
		return
	}
	_, index, _ := s.options.State.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = confirmation{index: index, begunAt: begunAt}
}
