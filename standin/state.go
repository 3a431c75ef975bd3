package standin

import (
	"slices"
	"sync"
	"time"

	"lovageslip/upstream"
)

// unknownAge is reported while a replica has never been in step with its
// primary.
const unknownAge = 365 * 24 * time.Hour

// entry is one committed transaction.
type entry struct {
	Term       upstream.Term
	Statements []loggedStatement
}

// loggedStatement is a statement as SQLite ran it.
type loggedStatement struct {
	SQL    string
	Args   []loggedValue
	Schema bool
}

// state is a server's place in its group. Every change of it that must be
// atomic with a commit or with the application of entries happens under
// commit; a lock of both takes commit first.
type state struct {
	// commit serializes commits, application of entries, fencing, promotion
	// and following.
	commit sync.Mutex

	// mu guards the fields below.
	mu      sync.RWMutex
	role    upstream.Role
	term    upstream.Term
	fenced  upstream.Term
	history upstream.History
	log     []entry
	// primary is the address that a replica follows; empty if it must not
	// follow anyone.
	primary string
	// linkNumber changes whenever replication must start anew.
	linkNumber uint64
	// upToDateAt is the send time of the last pull whose answer is fully applied.
	upToDateAt time.Time
	// lastContact is the time of the last answer of the primary.
	lastContact time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newState(term upstream.Term) *state {
	return &state{
		role:        upstream.RolePrimary,
		term:        term,
		fenced:      term,
		history:     upstream.History{{Term: term}},
		changed:     make(chan struct{}),
		lastContact: time.Now(),
	}
}

func (s *state) startAsReplica(primary string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role = upstream.RoleReplica
	s.primary = primary
	s.notify()
}

// resetAfterRestart forgets what a new process can't know: when it last heard from
// its primary.
func (s *state) resetAfterRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upToDateAt = time.Time{}
	s.lastContact = time.Now()
	s.linkNumber++
	s.notify()
}

// notify wakes all that wait for a change. The caller holds mu.
func (s *state) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *state) status() upstream.Status {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.statusLocked(time.Now())
}

func (s *state) statusLocked(now time.Time) upstream.Status {
	status := upstream.Status{
		Role:    s.role,
		Term:    s.term,
		Offset:  upstream.Offset(len(s.log)),
		Fenced:  s.fenced,
		History: s.history,
	}
	if s.role == upstream.RolePrimary {
		return status
	}
	status.PrimaryContactAge = now.Sub(s.lastContact)
	status.DataAge = unknownAge
	if !s.upToDateAt.IsZero() {
		status.DataAge = now.Sub(s.upToDateAt)
	}
	return status
}

// watch returns the status and a channel that closes at the next change.
func (s *state) watch() (upstream.Status, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.statusLocked(time.Now()), s.changed
}

// mayWrite reports whether the server leads its term and has promised to no
// higher one.
func (s *state) mayWrite() (upstream.Term, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.term, s.mayWriteLocked()
}

func (s *state) mayWriteLocked() bool {
	return s.role == upstream.RolePrimary && s.fenced <= s.term
}

// commitEntry runs commit and appends its statements to the log, unless the
// term in which the transaction wrote has ended; then it refuses.
func (s *state) commitEntry(term upstream.Term, statements []loggedStatement, commit func() error) error {
	s.commit.Lock()
	defer s.commit.Unlock()
	currentTerm, ok := s.mayWrite()
	if !ok || currentTerm != term {
		return readOnlyError("COMMIT")
	}
	if err := commit(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, entry{Term: term, Statements: statements})
	s.notify()
	return nil
}

func termTooLow(message string) *pgError {
	return &pgError{Code: codeTermTooLow, Message: message}
}

// fence promises to accept nothing below term. A link of a lower term ends at
// once, and nothing that it fetched is applied any more.
func (s *state) fence(term upstream.Term) *pgError {
	s.commit.Lock()
	defer s.commit.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.fenced {
		return termTooLow("fenced at a higher term")
	}
	if term == s.fenced {
		return nil
	}
	s.fenced = term
	if s.term < term {
		s.stopFollowingLocked()
	}
	s.notify()
	return nil
}

func (s *state) stopFollowingLocked() {
	s.primary = ""
	s.linkNumber++
}

// promote makes the server the primary of term.
func (s *state) promote(term upstream.Term) *pgError {
	s.commit.Lock()
	defer s.commit.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == upstream.RolePrimary && s.term == term {
		return nil
	}
	if term < s.fenced || term <= s.term {
		return termTooLow("cannot be promoted: the term is taken or too low")
	}
	s.stopFollowingLocked()
	s.role = upstream.RolePrimary
	s.term = term
	s.fenced = term
	start := upstream.Offset(len(s.log))
	s.history = append(slices.Clone(s.history), upstream.TermStart{Term: term, Start: start})
	s.notify()
	return nil
}

// follow makes the server a replica of the primary of term at address.
func (s *state) follow(term upstream.Term, address string) *pgError {
	s.commit.Lock()
	defer s.commit.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.fenced || s.role == upstream.RolePrimary && s.term == term {
		return termTooLow("cannot follow: the term is too low or led by this server")
	}
	if s.role == upstream.RoleReplica && s.term == term && s.primary == address {
		return nil
	}
	if s.role == upstream.RolePrimary {
		s.upToDateAt = time.Time{}
	}
	s.stopFollowingLocked()
	s.role = upstream.RoleReplica
	s.term = term
	s.fenced = term
	s.primary = address
	s.lastContact = time.Now()
	s.notify()
	return nil
}

// dropLink ends the link to the primary; replication then starts anew.
func (s *state) dropLink() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkNumber++
	s.notify()
}
