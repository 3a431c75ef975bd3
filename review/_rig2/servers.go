package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// group is a service of one primary and its replicas, which follow one log, and the
// platform's call that promotes one of them. It keeps to the users' PROTOCOL page.
type group struct {
	deployment *deployment
	lag        time.Duration // from a commit until the replicas have it
	promoting  time.Duration
	work       time.Duration // of a caller's statement

	mu       sync.Mutex
	backends []*backend
	term     int
	log      []entry
	token    int
	lost     []entry // acknowledged commits that a promotion has cut off
}

type entry struct {
	item, data, request string
	at                  time.Time // when the commit was acknowledged
}

type backend struct {
	group   *group
	id      string
	address string
	listen  net.Listener

	// The group's mutex guards the fields below.
	born      int64
	seq       int
	primary   bool
	term      int  // in which it leads, or which it has heard of
	frozenAt  int  // entries that it has received, once it does not lead and receives nothing more; -1 while it receives
	down      bool // accepts nothing
	draining  bool
	ackedAt   time.Time // when its draining was acknowledged
	ended     bool
	conns     map[net.Conn]bool
	statement int // single statements and first ones of transactions that it ran
	late      []lateRun
	beatURL   string
}

// lateRun is a statement that reached a backend later than drainMs after its draining was
// acknowledged.
type lateRun struct {
	request, text string
	after         time.Duration
}

func newGroup(d *deployment, count int, lag time.Duration) (*group, error) {
	g := &group{deployment: d, lag: lag, promoting: 600 * time.Millisecond, work: 25 * time.Millisecond, term: 1}
	for i := range count {
		address := net.JoinHostPort(d.ip(100+i), strconv.Itoa(d.controlPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		b := &backend{group: g, id: fmt.Sprintf("i-%c%d", 'a'+i, 4711+i), address: address, listen: l, primary: i == 0, term: 1, frozenAt: -1,
			born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
		g.backends = append(g.backends, b)
		go b.accept()
	}
	l, err := net.Listen("tcp", d.platform())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", g.promote)
	go func() { _ = http.Serve(l, mux) }()
	return g, nil
}

func (g *group) promote(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service, ID string
	}
	token, err := strconv.Atoi(r.Header.Get("X-Fencing-Token"))
	if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var named *backend
	for _, b := range g.backends {
		if b.id == body.ID {
			named = b
		}
	}
	g.deployment.record.add("the platform gets POST /promote %s, token %d, from %s", body.ID, token, r.Header.Get("X-Lease-Holder"))
	switch {
	case token < g.token || named == nil || named.down || named.ended || body.Service != service:
		w.WriteHeader(http.StatusConflict)
		return
	case named.primary:
		g.token = token
		return
	}
	g.token = token
	go func() {
		time.Sleep(g.promoting)
		g.lead(named)
	}()
}

// lead makes a backend the primary of the next term with what it has received.
func (g *group) lead(b *backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.primary || b.down || b.ended {
		return
	}
	received := b.receivedLocked(time.Now())
	g.lost = append(g.lost, g.log[received:]...)
	g.log = g.log[:received:received]
	g.term++
	for _, other := range g.backends {
		other.primary, other.frozenAt = other == b, -1
		other.term = g.term
		if !other.ended && !other.down {
			go other.beat(other == b)
		}
	}
	g.deployment.record.add("%s leads term %d with %d commits; %d acknowledged commits are cut off", b.id, g.term, received, len(g.lost))
}

// receivedLocked returns how many commits a backend has.
func (b *backend) receivedLocked(at time.Time) int {
	g := b.group
	switch {
	case b.primary:
		return len(g.log)
	case b.frozenAt >= 0:
		return min(b.frozenAt, len(g.log))
	}
	n := len(g.log)
	for n > 0 && at.Sub(g.log[n-1].at) < g.lag {
		n--
	}
	return n
}

// leader returns the primary, or nil.
func (g *group) leader() *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.backends {
		if b.primary && !b.down && !b.ended {
			return b
		}
	}
	return nil
}

// crash ends a backend's process: its connections break and it takes no new ones.
func (b *backend) crash() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.down = true
	for c := range b.conns {
		_ = c.Close()
	}
	clear(b.conns)
	b.group.deployment.record.add("%s crashes", b.id)
}

// restart starts a backend again under its id, with its log. born is what its machine's
// clock says.
func (b *backend) restart(born int64) {
	b.group.mu.Lock()
	b.down, b.born, b.seq, b.beatURL = false, born, 0, ""
	b.group.deployment.record.add("%s starts again under its id, born %d", b.id, born)
	b.group.mu.Unlock()
	b.beat(false)
}

// run sends heartbeats until the end.
func (b *backend) run() {
	for {
		b.beat(false)
		time.Sleep(heartbeatMs * time.Millisecond)
		b.group.mu.Lock()
		ended := b.ended
		b.group.mu.Unlock()
		if ended {
			return
		}
	}
}

// beat sends one heartbeat, to one control host after the other until one acknowledges it.
func (b *backend) beat(urgent bool) bool {
	g := b.group
	g.mu.Lock()
	if b.down || b.ended {
		g.mu.Unlock()
		return false
	}
	b.seq++
	state, role := "ready", "replica"
	if b.draining {
		state = "draining"
	}
	if b.primary {
		role = "primary"
	}
	draining, seq, born := b.draining, b.seq, b.born
	body, _ := json.Marshal(map[string]any{"service": service, "address": b.address, "zone": "zone-a", "version": "v1", "slots": 5,
		"state": state, "cold_remaining_ms": 0, "db_role": role, "seq": seq, "born": born})
	hosts := []string{b.beatURL}
	g.mu.Unlock()
	for _, last := range []int{1, 2, 3, 4, 5} {
		hosts = append(hosts, g.deployment.control(last))
	}
	for _, address := range hosts {
		if address == "" {
			continue
		}
		status, answer, _ := call(http.MethodPut, "http://"+address+"/-/instances/"+b.id, body)
		if status/100 != 2 {
			continue
		}
		var reply struct {
			URL string `json:"heartbeat_url"`
		}
		_ = json.Unmarshal(answer, &reply)
		g.mu.Lock()
		b.beatURL = reply.URL
		if draining && b.ackedAt.IsZero() {
			b.ackedAt = time.Now()
		}
		g.mu.Unlock()
		if draining || urgent || seq == 1 {
			g.deployment.record.add("%s: heartbeat %s, %s, seq %d, born %d acknowledged with %d by %s", b.id, state, role, seq, born, status, address)
		}
		return true
	}
	g.deployment.record.add("%s: heartbeat %s, seq %d: no control host acknowledges it", b.id, state, seq)
	return false
}

// drain reports the backend draining until that is acknowledged, serves for the promised
// time and some more, and ends.
func (b *backend) drain(more time.Duration) {
	g := b.group
	g.mu.Lock()
	b.draining = true
	g.mu.Unlock()
	g.deployment.record.add("%s begins its planned shutdown", b.id)
	for !b.beat(false) {
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(drainMs*time.Millisecond + more)
	status, _, _ := call(http.MethodDelete, "http://"+g.deployment.control(1)+"/-/instances/"+b.id, nil)
	g.deployment.record.add("%s: DELETE answered with %d", b.id, status)
	g.mu.Lock()
	defer g.mu.Unlock()
	b.ended, b.down = true, true
	_ = b.listen.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	g.deployment.record.add("%s exits; it was the primary: %v", b.id, b.primary)
}

func (b *backend) accept() {
	for {
		c, err := b.listen.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		if b.down {
			_ = c.Close()
		} else {
			b.conns[c] = true
			go b.serve(c)
		}
		b.group.mu.Unlock()
	}
}

// session is what a connection to a backend holds.
type session struct {
	backend  *backend
	term     int  // of the backend when the transaction began
	open     bool // a transaction
	plain    bool // it may write
	failed   bool
	first    bool // nothing of the caller has run in it
	prepared map[string]string
	writes   []entry
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.group.mu.Lock()
		delete(b.conns, c)
		b.group.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	s := &session{backend: b, prepared: map[string]string{}}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 4)
		var answer string
		switch {
		case fields[0] == "STARTUP" && len(fields) >= 3:
			if fields[1] != service || len(fields) == 4 && fields[3] != b.id {
				_, _ = io.WriteString(c, "ERROR WRONGNODE "+b.id+"\r\n")
				return
			}
			b.group.mu.Lock()
			answer = "READY I " + b.positionLocked() + "\r\n"
			b.group.mu.Unlock()
		case fields[0] == "QUERY" && len(fields) >= 3:
			answer = s.query(fields[1], strings.Join(fields[2:], " "))
			if answer == "" {
				return
			}
		default:
			return
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

func (b *backend) positionLocked() string {
	return fmt.Sprintf("%d.%d", b.term, b.receivedLocked(time.Now()))
}

var errRefused = errors.New("")

func refused(code string) error { return fmt.Errorf("%w%s", errRefused, code) }

// query runs one statement and returns the answer; an empty one if the process has ended.
func (s *session) query(request, text string) string {
	g := s.backend.group
	arrivedAt := time.Now()
	if request != "-" {
		time.Sleep(g.work)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.backend.down {
		return "" // the process has ended meanwhile
	}
	rows, err := s.runLocked(request, text, arrivedAt)
	answer := strings.Join(rows, "")
	switch {
	case err != nil:
		s.failed = s.open
		answer += "ERROR " + err.Error() + " " + s.backend.id + "\r\n"
	case request == "-" || answer == "":
		answer += "COMPLETE -\r\n"
	default:
		answer += "COMPLETE " + s.backend.id + "." + request + "\r\n"
	}
	state := "I"
	if s.failed {
		state = "E"
	} else if s.open {
		state = "T"
	}
	return answer + "READY " + state + " " + s.backend.positionLocked() + "\r\n"
}

func (s *session) runLocked(request, text string, arrivedAt time.Time) (rows []string, err error) {
	b := s.backend
	if rest, ok := strings.CutPrefix(text, "WAITLSN "); ok {
		wanted, statement, _ := strings.Cut(rest, " ")
		if !b.holdsLocked(wanted) {
			return nil, refused("LAGGING")
		}
		text = statement
	}
	words := strings.Split(text, " ")
	switch words[0] {
	case "ROLLBACK":
		s.open, s.failed, s.writes = false, false, nil
		return nil, nil
	case "RESET":
		clear(s.prepared)
		return nil, nil
	case "SET", "DEALLOC", "PREPARE":
		if words[0] == "PREPARE" && len(words) > 3 {
			s.prepared[words[1]] = words[2]
		}
		return nil, nil
	case "STATUS", "STEPDOWN", "PAUSE", "RESUME":
		return b.commandLocked(words)
	}
	if s.failed {
		return nil, refused("MALFORMED")
	}
	if words[0] == "BEGIN" {
		plain := len(words) == 1
		if plain && !b.primary {
			return nil, refused("READONLY")
		}
		s.open, s.plain, s.first, s.term, s.writes = true, plain, true, b.term, nil
		return nil, nil
	}
	if s.open && s.plain && (!b.primary || b.term != s.term) && (words[0] != "COMMIT" || len(s.writes) > 0) {
		return nil, refused("READONLY")
	}
	if words[0] == "EXECUTE" && len(words) > 2 {
		access, ok := s.prepared[words[1]]
		if !ok {
			return nil, refused("NOSTMT")
		}
		words = append([]string{access}, words[2:]...)
	}
	s.countLocked(request, text, arrivedAt)
	switch {
	case words[0] == "READ" && len(words) == 2:
		return []string{"DATAROW " + b.readLocked(words[1]) + "\r\n"}, nil
	case words[0] == "WRITE" && len(words) == 3 && !b.primary:
		return nil, refused("READONLY")
	case words[0] == "WRITE" && len(words) == 3:
		s.writes = append(s.writes, entry{item: words[1], data: words[2], request: request})
		if !s.open {
			s.commitLocked()
		}
		return []string{"DATAROW ok\r\n"}, nil
	case words[0] == "COMMIT" && s.open:
		s.commitLocked()
		s.open = false
		return []string{"DATAROW ok\r\n"}, nil
	}
	return nil, refused("MALFORMED")
}

func (s *session) commitLocked() {
	for _, e := range s.writes {
		e.at = time.Now()
		s.backend.group.log = append(s.backend.group.log, e)
	}
	s.writes = nil
}

// countLocked counts single statements and the first ones of transactions.
func (s *session) countLocked(request, text string, arrivedAt time.Time) {
	b := s.backend
	if request == "-" || s.open && !s.first {
		return
	}
	s.first = false
	b.statement++
	if after := arrivedAt.Sub(b.ackedAt); !b.ackedAt.IsZero() && after > drainMs*time.Millisecond {
		b.late = append(b.late, lateRun{request, text, after})
		b.group.deployment.record.add("%s runs %s %q, which reached it %v after its draining was acknowledged", b.id, request, text, after.Round(time.Millisecond))
	}
}

func (b *backend) readLocked(item string) string {
	for i := b.receivedLocked(time.Now()) - 1; i >= 0; i-- {
		if b.group.log[i].item == item {
			return b.group.log[i].data
		}
	}
	return "none"
}

func (b *backend) holdsLocked(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.Atoi(term)
	n, errNumber := strconv.Atoi(number)
	return errTerm == nil && errNumber == nil && t <= b.term && n <= b.receivedLocked(time.Now())
}

func (b *backend) commandLocked(words []string) ([]string, error) {
	term := 0
	if len(words) > 1 {
		term, _ = strconv.Atoi(words[1])
	}
	switch {
	case words[0] == "STEPDOWN" && b.primary && b.term < term:
		b.frozenAt = len(b.group.log)
		b.primary = false
		go b.beat(true)
	case words[0] == "PAUSE" && !b.primary && b.frozenAt < 0 && term > b.term:
		b.frozenAt = b.receivedLocked(time.Now())
	case words[0] == "RESUME" && !b.primary:
		b.frozenAt = -1
	}
	role := "replica"
	if b.primary {
		role = "primary"
	}
	return []string{fmt.Sprintf("DATAROW %s %d %s 0 %d 0 %d\r\n", role, b.term, b.positionLocked(), b.group.lag.Milliseconds(), len(b.conns))}, nil
}
