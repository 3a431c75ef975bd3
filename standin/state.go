package standin

import (
	"slices"
	"sync"
	"time"

	"lovageslip/upstream"
)

// unknownAge is the data age that a replica reports until it has applied all
// entries of its primary for the first time.
const unknownAge = 365 * 24 * time.Hour

// entry is one committed transaction in a server's log.
type entry struct {
	Term       upstream.Term
	Statements []loggedStatement
}

// loggedStatement is a statement of an entry, with the text and arguments that
// SQLite ran. Schema is true if it may change tables.
type loggedStatement struct {
	SQL    string
	Args   []loggedValue
	Schema bool
}

// state holds a server's role, term and log. A change that must be atomic with a
// commit or with the application of entries is made with the mutex commit
// locked. Whoever locks both mutexes locks commit first.
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
	// primary is the address of the primary that a replica follows; empty if
	// it must not follow any server.
	primary string
	// linkNumber is incremented when a replication link must end. Entries that
	// were pulled under an earlier number are not applied.
	linkNumber uint64
	// upToDateAt is the send time of the last applied pull whose answer held
	// all remaining entries of the primary. Zero if there was none.
	upToDateAt time.Time
	// lastContact is the time of the primary's last answer.
	lastContact time.Time
	// changed is closed and replaced at each change that notify announces.
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

// resetAfterRestart clears what a server doesn't know after a restart: when it was
// up to date and when its primary last answered.
func (s *state) resetAfterRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upToDateAt = time.Time{}
	s.lastContact = time.Now()
	s.linkNumber++
	s.notify()
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
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
		Role:       s.role,
		Term:       s.term,
		Offset:     upstream.Offset(len(s.log)),
		FencedTerm: s.fenced,
		History:    s.history,
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

// mayWrite returns the server's term, and whether the server is the primary of
// that term and isn't fenced at a higher one.
func (s *state) mayWrite() (upstream.Term, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.term, s.mayWriteLocked()
}

func (s *state) mayWriteLocked() bool {
	return s.role == upstream.RolePrimary && s.fenced <= s.term
}

// commitEntry runs commit and appends the transaction's statements to the log. It
// fails with a read-only error if the server is no longer the primary of the
// term in which the transaction wrote.
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

// fence makes the server refuse everything from terms below term. A replication
// link of a lower term ends, and entries that it has pulled but not applied are
// discarded.
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

// dropLink ends the link to the primary. A new one is opened, unless replication
// is broken.
func (s *state) dropLink() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkNumber++
	s.notify()
}
