package standin

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"lovageslip/fault"
	"lovageslip/upstream"
)

const (
	// replicationParameter in a start-up message asks for a replication link
	// instead of a session.
	replicationParameter = "replication"
	longPollTimeout      = 10 * time.Millisecond
	pullTimeout          = time.Second
	reconnectDelay       = 20 * time.Millisecond
	maxPullEntries       = 2000
)

// pullRequest asks for the entries after From. The first request of a link
// carries the replica's history, to find the common prefix of both logs.
type pullRequest struct {
	Term    upstream.Term
	History upstream.History
	From    upstream.Offset
	First   bool
}

// pullReply answers a pullRequest. Keep is set in the answer to the first request
// only: the replica keeps that many entries of its log and discards the rest.
type pullReply struct {
	Refused string
	History upstream.History
	Keep    upstream.Offset
	Entries []entry
	// More is true if the primary has further entries already.
	More bool
}

// linkRefused reports that replication over a link can't go on: the server at
// the address isn't the primary of the term, or the link was dropped or replaced.
type linkRefused struct {
	detail string
}

func (e *linkRefused) Error() string { return "replication refused: " + e.detail }

// serveReplica answers the pulls of one replica until the connection breaks, a
// pull is refused or ctx ends.
func (s *Server) serveReplica(ctx context.Context, conn net.Conn, reader *bufio.Reader) {
	decoder, encoder := gob.NewDecoder(reader), gob.NewEncoder(conn)
	for ctx.Err() == nil {
		var request pullRequest
		if err := decoder.Decode(&request); err != nil {
			return
		}
		reply := s.state.answerPull(ctx, request)
		if err := encoder.Encode(reply); err != nil || reply.Refused != "" {
			return
		}
	}
}

// answerPull answers a pull by long polling: if there are no new entries, it waits
// for them for at most longPollTimeout. A replica thus gets entries without delay,
// and an answer at regular times, by which it knows that its primary is alive.
func (s *state) answerPull(ctx context.Context, request pullRequest) pullReply {
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		reply, changed := s.pull(request)
		if reply.Refused != "" || len(reply.Entries) > 0 || request.First {
			return reply
		}
		select {
		case <-changed:
		case <-timer.C:
			return reply
		case <-ctx.Done():
			return pullReply{Refused: "shutting down"}
		}
	}
}

func (s *state) pull(request pullRequest) (pullReply, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.role != upstream.RolePrimary || s.term != request.Term {
		return pullReply{Refused: "not the primary of that term"}, s.changed
	}
	reply := pullReply{History: s.history}
	if request.First {
		reply.Keep = s.commonPrefix(request.History, request.From)
		return reply, s.changed
	}
	if request.From > upstream.Offset(len(s.log)) {
		return pullReply{Refused: "position is ahead of the primary"}, s.changed
	}
	end := min(len(s.log), int(request.From)+maxPullEntries)
	reply.Entries = s.log[request.From:end]
	reply.More = end < len(s.log)
	return reply, s.changed
}

// commonPrefix returns how many entries this server's log has in common with a
// log of the given history and end. The logs agree up to the earlier of the two
// ends of the last term that both histories have in common.
func (s *state) commonPrefix(other upstream.History, end upstream.Offset) upstream.Offset {
	common := 0
	for common < len(other) && common < len(s.history) && other[common] == s.history[common] {
		common++
	}
	if common == 0 {
		return 0
	}
	return min(termEnd(other, common, end), termEnd(s.history, common, upstream.Offset(len(s.log))))
}

func termEnd(history upstream.History, next int, end upstream.Offset) upstream.Offset {
	if next < len(history) {
		return history[next].Start
	}
	return end
}

// replicate pulls entries from the primary that the state currently names, until
// ctx ends. It does nothing while there is none or replication is broken.
func (s *Server) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		target, changed := s.state.target()
		if target.address == "" || s.replicationBroken.Load() {
			waitFor(ctx, changed, pullTimeout)
			continue
		}
		err := s.runLink(ctx, target)
		s.log.Debug("replication link ended", "primary", target.address, "error", err)
		waitFor(ctx, nil, reconnectDelay)
	}
}

func waitFor(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// target is the primary that a replica follows, with the replica's own history
// and end of log. It is valid while the state's linkNumber stays the same.
type target struct {
	address    string
	term       upstream.Term
	linkNumber uint64
	history    upstream.History
	offset     upstream.Offset
}

func (s *state) target() (target, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	t := target{
		address:    s.primary,
		term:       s.term,
		linkNumber: s.linkNumber,
		history:    s.history,
		offset:     upstream.Offset(len(s.log)),
	}
	if s.role != upstream.RoleReplica {
		t.address = ""
	}
	return t, s.changed
}

// runLink opens a replication link, discards the replica's entries beyond the
// common prefix of both logs, and pulls until the link breaks or the target
// changes.
func (s *Server) runLink(serverCtx context.Context, t target) error {
	ctx, cancel := context.WithCancel(serverCtx)
	defer cancel()
	conn, err := s.dialPrimary(ctx, t.address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	defer conn.Close()
	l := &link{server: s, target: t, conn: conn, encoder: gob.NewEncoder(conn), decoder: gob.NewDecoder(conn)}
	l.pullQueued = make(chan struct{}, 1)
	return l.run(ctx, cancel)
}

func (s *Server) dialPrimary(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: pullTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &fault.IO{Op: "dial primary " + address, Err: err}
	}
	startup := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{replicationParameter: "lovageslip"},
	}
	message, err := startup.Encode(nil)
	if err == nil {
		_, err = conn.Write(message)
	}
	if err != nil {
		conn.Close()
		return nil, &fault.IO{Op: "open replication link", Err: err}
	}
	return conn, nil
}

// alignLogWithPrimary makes the replica's log and history a prefix of the
// primary's. It discards the replica's entries beyond reply.Keep, which were
// written under a term that another primary has replaced.
func (s *Server) alignLogWithPrimary(t target, reply pullReply) error {
	s.state.commit.Lock()
	defer s.state.commit.Unlock()
	if !s.state.isCurrentLink(t.linkNumber) {
		return &linkRefused{detail: "the link was dropped or replaced before its log was aligned"}
	}
	if reply.Keep < t.offset {
		s.log.Info("replica discards entries that the primary's log does not have", "kept", reply.Keep, "had", t.offset)
		if err := s.store.rebuild(s.state.log[:reply.Keep]); err != nil {
			return err
		}
		s.closeTransactions()
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if reply.Keep < t.offset {
		s.state.log = slices.Clone(s.state.log[:reply.Keep])
		s.state.upToDateAt = time.Time{}
	}
	s.state.updateHistory(reply.History)
	s.state.notify()
	return nil
}

// updateHistory sets the replica's history to the primary's terms that begin at
// or before the end of the replica's log. The caller holds mu.
func (s *state) updateHistory(primary upstream.History) {
	end := upstream.Offset(len(s.log))
	begun := 0
	for begun < len(primary) && primary[begun].Start <= end {
		begun++
	}
	if !slices.Equal(s.history, primary[:begun]) {
		s.history = slices.Clone(primary[:begun])
	}
}

func (s *state) isCurrentLink(link uint64) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.linkNumber == link
}

func (s *state) recordContact(link uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linkNumber == link {
		s.lastContact = time.Now()
	}
}
