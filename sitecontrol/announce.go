package sitecontrol

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lovageslip/consensus"
	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// announceTimeout bounds the handling of one announcement. It is shorter than
// the second for which the sender waits for an answer.
const announceTimeout = 900 * time.Millisecond

// AnnounceUpstream passes an upstream's announcement to the leading control
// host. It returns nil once every change that results from it is committed.
func (s *Server) AnnounceUpstream(ctx context.Context, u *pb.SiteUpstream) error {
	return s.announce(ctx, u, false)
}

func (s *Server) announce(ctx context.Context, u *pb.SiteUpstream, ended bool) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if _, leads := s.options.Consensus.Leadership(); leads {
		return s.handleAnnouncement(ctx, u, ended)
	}
	_, address, ok := s.options.Consensus.Leader()
	if !ok || address == s.options.Address {
		return noLeader()
	}
	request := &pb.AnnounceUpstreamRequest{Upstream: u, Ended: ended}
	if _, err := s.clients.ForAddress(address).Announce(ctx, connect.NewRequest(request)); err != nil {
		return &fault.IO{Op: "pass announcement to the leader", Err: err}
	}
	return nil
}

func noLeader() error {
	return &fault.NotRun{Reason: consensus.ReasonNoLeader, Detail: "no leader is known"}
}

// Announce implements SiteService.
func (s *Server) Announce(ctx context.Context, r *connect.Request[pb.AnnounceUpstreamRequest]) (*connect.Response[pb.AnnounceUpstreamResponse], error) {
	if _, leads := s.options.Consensus.Leadership(); !leads {
		return nil, unavailable(noLeader())
	}
	err := s.handleAnnouncement(ctx, r.Msg.Upstream, r.Msg.Ended)
	var invalid *fault.Invalid
	switch {
	case errors.As(err, &invalid):
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	case err != nil:
		return nil, unavailable(err)
	}
	return connect.NewResponse(&pb.AnnounceUpstreamResponse{}), nil
}

func (s *Server) handleAnnouncement(ctx context.Context, u *pb.SiteUpstream, ended bool) error {
	if ended {
		return s.handleRemoval(ctx, u.GetId())
	}
	if err := site.CheckUpstream(u); err != nil {
		return err
	}
	state, _, _ := s.options.State.Current()
	record := site.Upstream(state, u.Id)
	if record != nil && !site.Replaces(state.Config, u, record) {
		s.log.Debug("announcement ignored: the upstream has a record that it doesn't replace", "upstream", u.Id, "group", u.Group, "sequence", u.Sequence)
		return nil
	}
	// If a newer one was received before, it may not be committed yet, or its
	// commit may have failed. This one must not be acknowledged before that.
	u = s.newestAnnouncement(state.Config, u)
	if u == nil || record != nil && sameUpstream(u, record) {
		return nil
	}
	if err := s.recordUpstream(ctx, u); err != nil {
		return err
	}
	s.log.Info("upstream recorded", "upstream", u.Id, "group", u.Group, "address", u.Address,
		"leaving", u.Leaving, "primary", u.Primary, "born_ms", u.BornMs, "sequence", u.Sequence)
	return nil
}

func (s *Server) recordUpstream(ctx context.Context, u *pb.SiteUpstream) error {
	_, err := s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_RecordUpstream{RecordUpstream: u}})
	return err
}

// newestAnnouncement returns the newest announcement that this host has received
// from the upstream of u, which may be u itself, or nil if that process was removed.
func (s *Server) newestAnnouncement(config *pb.SiteConfig, u *pb.SiteUpstream) *pb.SiteUpstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.announcements[u.Id]
	switch {
	case !ok || site.Replaces(config, u, last.upstream):
	case last.removed:
		return nil
	default:
		return last.upstream
	}
	s.announcements[u.Id] = announcement{upstream: u, receivedAt: now()}
	return u
}

// sameUpstream reports whether two announcements are equal, apart from the
// sequence number, which rises with each announcement.
func sameUpstream(a, b *pb.SiteUpstream) bool {
	copied := proto.Clone(a).(*pb.SiteUpstream)
	copied.Sequence = b.Sequence
	return proto.Equal(copied, b)
}

func (s *Server) handleRemoval(ctx context.Context, id string) error {
	process := s.newestProcess(id)
	if process == nil {
		return nil
	}
	command := &pb.RemoveSiteUpstream{Id: id, BornMs: process.BornMs}
	_, err := s.propose(ctx, &pb.SiteCommand{Command: &pb.SiteCommand_RemoveUpstream{RemoveUpstream: command}})
	if err != nil {
		return err
	}
	s.markRemoved(id)
	s.log.Info("upstream removed at its own request", "upstream", id, "group", process.Group)
	return nil
}

// newestProcess returns the newest process of an upstream that has not been removed,
// or nil. It may be known only from an announcement that is not committed yet.
func (s *Server) newestProcess(id string) *pb.SiteUpstream {
	state, _, _ := s.options.State.Current()
	record := site.Upstream(state, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.announcements[id]
	if !ok || last.removed || record != nil && !site.Replaces(state.Config, last.upstream, record) {
		return record
	}
	return last.upstream
}

// markRemoved makes this host ignore delayed announcements of a process that was
// removed. The state refuses only those that name its start.
func (s *Server) markRemoved(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.announcements[id]; ok {
		last.removed = true
		s.announcements[id] = last
	}
}

// RemoveUpstream removes an upstream that has announced its own shutdown. Like
// AnnounceUpstream, it returns nil once the change is committed.
func (s *Server) RemoveUpstream(ctx context.Context, id string) error {
	return s.announce(ctx, &pb.SiteUpstream{Id: id}, true)
}
