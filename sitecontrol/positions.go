package sitecontrol

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
	"lovageslip/upstream"
)

const (
	// sampleRefreshAge is the age from which a group's position is asked for
	// again. The staleness bounds that operators set are above a second.
	sampleRefreshAge = 200 * time.Millisecond
	sampleTimeout    = 400 * time.Millisecond
	// sampleWait is how long a call waits for a new sample if the newest one
	// is older than sampleMaxAge, which makes it useless to callers.
	sampleWait   = 250 * time.Millisecond
	sampleMaxAge = time.Second
)

// positionSample is the newest known position of a group's primary. Server.mu
// guards it.
type positionSample struct {
	position    upstream.Position
	requestedAt time.Time
	// done is closed when the call that takes the next sample has ended; it
	// is nil if no such call is running.
	done chan struct{}
}

// Positions implements SiteService. It answers from samples that are shared by
// all proxies, so that the load on a primary doesn't grow with their number.
func (s *Server) Positions(ctx context.Context, r *connect.Request[pb.PositionsRequest]) (*connect.Response[pb.PositionsResponse], error) {
	response := &pb.PositionsResponse{}
	for _, group := range r.Msg.Groups {
		if p := s.position(ctx, group); p != nil {
			response.Positions = append(response.Positions, p)
		}
	}
	return connect.NewResponse(response), nil
}

func (s *Server) position(ctx context.Context, group string) *pb.GroupPosition {
	done, age := s.startSample(group)
	if done != nil && age > sampleMaxAge {
		timer := time.NewTimer(sampleWait)
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.samples[group]
	if sample == nil || sample.requestedAt.IsZero() {
		return nil
	}
	return &pb.GroupPosition{
		Group:  group,
		Term:   uint64(sample.position.Term),
		Offset: uint64(sample.position.Offset),
		// Rounded up, because the proxy relies on the position being no older
		// than this.
		AgeMs: uint32(now().Sub(sample.requestedAt)/time.Millisecond) + 1,
	}
}

// startSample takes a sample of a group's position in the background if one is
// due. It returns a channel that is closed when that has ended, nil if none is
// due, and the age of the newest sample.
func (s *Server) startSample(group string) (done <-chan struct{}, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.samples[group]
	if sample == nil {
		sample = &positionSample{}
		s.samples[group] = sample
	}
	age = now().Sub(sample.requestedAt)
	if age < sampleRefreshAge {
		return nil, age
	}
	if sample.done == nil {
		ended := make(chan struct{})
		sample.done = ended
		go func() {
			defer close(ended)
			s.takeSample(group)
		}()
	}
	return sample.done, age
}

func (s *Server) takeSample(group string) {
	ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
	defer cancel()
	requestedAt := now()
	position, err := s.askPosition(ctx, group)
	if err != nil {
		s.metrics.Counter("samples_failed_total").Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.samples[group]
	sample.done = nil
	if err == nil {
		sample.position, sample.requestedAt = position, requestedAt
	}
}

func (s *Server) askPosition(ctx context.Context, group string) (upstream.Position, error) {
	state, _, _ := s.options.State.Current()
	primary := site.Upstream(state, site.Group(state, group).GetPrimary())
	if primary == nil {
		return upstream.Position{}, &NoPrimary{Group: group}
	}
	return s.options.Prober.Position(ctx, primary)
}

// NoPrimary reports a group whose primary is not known.
type NoPrimary struct{ Group string }

func (e *NoPrimary) Error() string { return "group " + e.Group + " has no known primary" }
