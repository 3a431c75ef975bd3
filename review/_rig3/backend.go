package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is TERM.NUMBER of a log. The term is that of the last commit, as in a log
// whose entries carry the term in which they were made.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p == (position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func (p position) before(q position) bool {
	if p.term != q.term {
		return p.term < q.term
	}
	return p.number < q.number
}

type commit struct {
	at   position
	data string
}

// group is a service: one primary and its replicas, with the platform's promotion call.
type group struct {
	name         string
	syncReplicas int
	promoteDelay time.Duration
	workTime     time.Duration // of a statement
	controls     func() []string
	rec          *recorder
	// onPromote is called, without the lock, for each promotion that was accepted.
	onPromote func(id string)
	// onRun is called, with the lock held, for each statement of a client that runs, with
	// the session values of the connection.
	onRun func(id, word string, values map[string]string)
	// rows returns the rows of an item that has more than one, or nil. It may be nil.
	rows func(item string) []string

	mu       sync.Mutex
	cond     *sync.Cond
	backends []*backend
	term     uint64 // the newest term
	token    uint64 // the highest fencing token that was seen
}

// backend is one server. Its zone says how far others are.
type backend struct {
	g        *group
	id, zone string
	address  string
	listener net.Listener
	born     int64

	// The group's lock guards the fields below.
	primary, draining, ended bool
	down, deaf               bool
	drainAcked               time.Time
	term                     uint64 // the term that it leads or follows
	log                      []commit
	paused                   bool
	pauseTerm                uint64
	seq                      uint64
	conns                    map[net.Conn]bool
	beat                     chan struct{}
	heartbeatURL             string
	slots, busy              int
	cutFromControl           bool
}

func newGroup(name string, syncReplicas int, promoteDelay time.Duration, rec *recorder) *group {
	g := &group{name: name, syncReplicas: syncReplicas, promoteDelay: promoteDelay, workTime: 3 * time.Millisecond, rec: rec, term: 1}
	g.cond = sync.NewCond(&g.mu)
	return g
}

// region is the part of a zone's name before the number.
func region(zone string) string { return strings.TrimRight(zone, "0123456789") }

// oneWay is the delay of the network between two zones.
func oneWay(a, b string) time.Duration {
	switch {
	case a == b:
		return 100 * time.Microsecond
	case region(a) == region(b):
		return time.Millisecond
	default:
		return 20 * time.Millisecond
	}
}

// add starts a backend. It listens at address, or at a free port of ip.
func (g *group) add(id, zone, address string, primary bool, log []commit) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{
		g: g, id: id, zone: zone, listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(), primary: primary,
		conns: map[net.Conn]bool{}, beat: make(chan struct{}, 1), slots: slots, log: append([]commit(nil), log...),
	}
	g.mu.Lock()
	b.term = g.term
	g.backends = append(g.backends, b)
	if !primary {
		g.catchUpLocked(b)
	}
	g.mu.Unlock()
	go b.accept()
	go b.sendHeartbeats()
	return b, nil
}

func (g *group) find(id string) *backend {
	for _, b := range g.backends {
		if b.id == id && !b.ended {
			return b
		}
	}
	return nil
}

func (g *group) primaryLocked() *backend {
	for _, b := range g.backends {
		if b.primary && !b.ended {
			return b
		}
	}
	return nil
}

func (g *group) primary() *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primaryLocked()
}

func (b *backend) positionLocked() position {
	if len(b.log) == 0 {
		return position{}
	}
	return b.log[len(b.log)-1].at
}

// appendLocked adds a commit to the primary's log and sends it to the replicas.
func (b *backend) appendLocked(data string) int {
	b.log = append(b.log, commit{position{b.term, uint64(len(b.log)) + 1}, data})
	n := len(b.log)
	for _, r := range b.g.backends {
		if r != b && !r.ended {
			b.sendLocked(r, n)
		}
	}
	return n
}

// sendLocked sends the primary's first n commits to a replica, which receives them after
// the delay of the network.
func (b *backend) sendLocked(r *backend, n int) {
	term := b.term
	time.AfterFunc(oneWay(b.zone, r.zone), func() {
		g := b.g
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.term != term || b.term != term || b.ended || r.ended || b.down || r.down || r.paused || r.deaf || len(r.log) >= n {
			return
		}
		r.log = append(r.log[:len(r.log):len(r.log)], b.log[len(r.log):n]...)
		r.term = term
		g.cond.Broadcast()
	})
}

// catchUpLocked sends a replica what it lacks.
func (g *group) catchUpLocked(r *backend) {
	if p := g.primaryLocked(); p != nil && p != r {
		p.sendLocked(r, len(p.log))
	}
}

// awaitSyncLocked waits until syncReplicas replicas have received n commits. It reports
// false if the backend has lost the lead before.
func (b *backend) awaitSyncLocked(n int) bool {
	term := b.term
	for {
		if !b.primary || b.term != term || b.ended || b.down {
			return false
		}
		holders := 0
		for _, r := range b.g.backends {
			if r != b && !r.ended && !r.down && len(r.log) >= n {
				holders++
			}
		}
		if holders >= b.g.syncReplicas {
			return true
		}
		b.g.cond.Wait()
	}
}

// ServeHTTP is the platform's promotion call.
func (g *group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != g.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	b := g.find(body.ID)
	refused := token < g.token || b == nil || b.down
	already := !refused && b.primary
	if !refused {
		g.token = token
	}
	g.mu.Unlock()
	g.rec.add("platform: promote %s from %s token %d refused=%v already=%v", body.ID, r.Header.Get("X-Lease-Holder"), token, refused, already)
	if refused {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !already {
		time.AfterFunc(g.promoteDelay, func() { g.promote(b) })
	}
	w.WriteHeader(http.StatusOK)
	if !already && g.onPromote != nil {
		go g.onPromote(body.ID)
	}
}

func (g *group) promote(b *backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.ended || b.down || b.primary {
		return
	}
	old := g.primaryLocked()
	g.term++
	for _, o := range g.backends {
		if o.primary {
			o.primary = false
			o.notify()
		}
		o.paused, o.pauseTerm = false, 0
		if len(o.log) > len(b.log) {
			o.log = o.log[:len(b.log):len(b.log)]
		}
	}
	b.primary, b.term = true, g.term
	at := b.positionLocked()
	g.rec.add("platform: %s leads term %d with %s; before it %s", b.id, g.term, at, idOf(old))
	for _, o := range g.backends {
		if o != b && !o.ended {
			b.sendLocked(o, len(b.log))
		}
	}
	b.notify()
	g.cond.Broadcast()
}

func idOf(b *backend) string {
	if b == nil {
		return "none"
	}
	return b.id
}

// notify makes the backend send a heartbeat now.
func (b *backend) notify() {
	select {
	case b.beat <- struct{}{}:
	default:
	}
}

// drainExtra is how much longer than the leaving period a backend serves.
const drainExtra = 500 * time.Millisecond

// drain announces that the backend leaves, serves on for the leaving period and a little
// longer, and then ends.
func (b *backend) drain(period time.Duration) {
	b.g.mu.Lock()
	b.draining = true
	b.g.mu.Unlock()
	b.g.rec.add("%s drains", b.id)
	b.notify()
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
		b.g.mu.Lock()
		acked := b.drainAcked
		b.g.mu.Unlock()
		if !acked.IsZero() {
			time.Sleep(time.Until(acked.Add(period + drainExtra)))
			break
		}
	}
	b.send(http.MethodDelete, nil)
	b.end()
}

// crash ends the backend's process until restart. Its log is kept.
func (b *backend) crash() {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.down = true
	for c := range b.conns {
		_ = c.Close()
	}
	b.g.rec.add("%s crashes, primary: %v, its log ends at %s", b.id, b.primary, b.positionLocked())
	b.g.cond.Broadcast()
}

// restart starts the backend's process again, with its log, as a replica if another
// backend was promoted.
func (b *backend) restart() {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.down, b.paused, b.pauseTerm, b.born, b.seq = false, false, 0, time.Now().UnixMilli(), 0
	b.g.rec.add("%s is back, primary: %v, its log ends at %s", b.id, b.primary, b.positionLocked())
	b.g.catchUpLocked(b)
	b.notify()
}

// setDeaf makes a replica receive nothing, or ends that.
func (b *backend) setDeaf(deaf bool) {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.deaf = deaf
	b.g.rec.add("%s receives nothing: %v, its log ends at %s", b.id, deaf, b.positionLocked())
	b.g.catchUpLocked(b)
}

// end ends the backend's process.
func (b *backend) end() {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.ended, b.primary = true, false
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	b.g.rec.add("%s has ended", b.id)
	b.g.cond.Broadcast()
}

// slots is how many statements a backend runs at the same time. One more is refused with
// BUSY.
const slots = 5

// setCut cuts the backend off from the control hosts, or ends that. Clients' statements
// and the group's replication go on.
func (b *backend) setCut(cut bool) {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.cutFromControl = cut
	b.g.rec.add("%s cut off from the control hosts: %v", b.id, cut)
}

// reachable reports whether the other end of a session's connection is reachable. If it
// is not, it waits until the connection is dropped.
func (s *session) reachable() bool {
	s.b.g.mu.Lock()
	cut := s.b.cutFromControl && s.who == controlWord
	s.b.g.mu.Unlock()
	if cut {
		time.Sleep(unreachableTimeout)
	}
	return !cut
}

// unreachableTimeout is how long a backend keeps a connection whose other end is
// unreachable.
const unreachableTimeout = 3 * time.Second

// controlWord says in STARTUP that a control host connects.
const controlWord = "control"

const heartbeatInterval = 1200 * time.Millisecond

func (b *backend) sendHeartbeats() {
	for {
		b.g.mu.Lock()
		if b.ended {
			b.g.mu.Unlock()
			return
		}
		if b.cutFromControl || b.down {
			b.g.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		b.seq++
		state, role := "ready", "replica"
		if b.draining {
			state = "draining"
		}
		if b.primary {
			role = "primary"
		}
		draining := b.draining
		body, _ := json.Marshal(map[string]any{"service": b.g.name, "address": b.address, "zone": b.zone, "version": "v1", "slots": 5,
			"state": state, "cold_remaining_ms": 0, "db_role": role, "seq": b.seq, "born": b.born})
		b.g.mu.Unlock()
		if b.send(http.MethodPut, body) && draining {
			b.g.mu.Lock()
			if b.drainAcked.IsZero() {
				b.drainAcked = time.Now()
				b.g.rec.add("leave of %s acknowledged", b.id)
			}
			b.g.mu.Unlock()
		}
		select {
		case <-b.beat:
		case <-time.After(heartbeatInterval):
		}
	}
}

// nextHeartbeat returns the address that the next heartbeat goes to first; empty if none
// was named.
func (b *backend) nextHeartbeat() string {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	return b.heartbeatURL
}

func (b *backend) setNextHeartbeat(address string) {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.heartbeatURL = address
}

var beatClient = &http.Client{Timeout: time.Second}

// send sends a heartbeat or the end to one control host after the other until one
// acknowledges it.
func (b *backend) send(method string, body []byte) bool {
	addresses := b.g.controls()
	if next := b.nextHeartbeat(); next != "" {
		addresses = append([]string{next}, addresses...)
	}
	for _, address := range addresses {
		request, err := http.NewRequest(method, "http://"+address+"/-/instances/"+b.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := beatClient.Do(request)
		if err != nil {
			b.setNextHeartbeat("")
			continue
		}
		var answer struct {
			URL string `json:"heartbeat_url"`
		}
		_ = json.NewDecoder(io.LimitReader(response.Body, 4096)).Decode(&answer)
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			b.setNextHeartbeat(answer.URL)
			return true
		}
		b.setNextHeartbeat("")
	}
	return false
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.g.mu.Lock()
		down := b.down
		if !down {
			b.conns[c] = true
		}
		b.g.mu.Unlock()
		if down {
			_ = c.Close()
			continue
		}
		go b.serve(c)
	}
}

// session is a session on one connection.
type session struct {
	b        *backend
	who      string // the word that says who is connecting
	from     string // the zone of the other end
	state    string
	writable bool
	writes   []string
	prepared map[string]string
	values   map[string]string
}

// zones tells where connections come from: the word that says who is connecting, and
// the zone of such processes.
var zones = map[string]string{}

func (b *backend) serve(c net.Conn) {
	defer func() {
		b.g.mu.Lock()
		delete(b.conns, c)
		b.g.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	s := &session{b: b, state: "I", prepared: map[string]string{}, values: map[string]string{}}
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		var reply string
		if first {
			fields := strings.Fields(line)
			if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != b.g.name || len(fields) > 3 && fields[3] != b.id {
				_, _ = c.Write([]byte("ERROR WRONGNODE " + b.id + "\r\n"))
				return
			}
			s.who, s.from = fields[2], zones[fields[2]]
			if !s.reachable() {
				return
			}
			b.g.mu.Lock()
			reply = "READY I " + b.positionLocked().String() + "\r\n"
			b.g.mu.Unlock()
		} else {
			delay := time.Duration(0)
			if s.from != "" {
				delay = oneWay(s.from, b.zone)
			}
			time.Sleep(delay)
			if !s.reachable() {
				return
			}
			answered := true
			reply, answered = s.answer(line)
			if !answered || !s.reachable() {
				return
			}
			time.Sleep(delay)
		}
		if err := writePaced(c, reply); err != nil {
			return
		}
	}
}

const (
	// linkBytesPerSecond is 500 Mbit/s, less than the link of an entry machine.
	linkBytesPerSecond = 500e6 / 8
	linkChunkBytes     = 256 << 10
)

// writePaced writes an answer no faster than the network would carry it.
func writePaced(c net.Conn, reply string) error {
	begun := time.Now()
	for sent := 0; sent < len(reply); {
		n := min(linkChunkBytes, len(reply)-sent)
		if _, err := io.WriteString(c, reply[sent:sent+n]); err != nil {
			return err
		}
		sent += n
		if sent < len(reply) {
			time.Sleep(time.Until(begun.Add(time.Duration(float64(sent) / linkBytesPerSecond * float64(time.Second)))))
		}
	}
	return nil
}

func cut(s string) (word, rest string) {
	word, rest, _ = strings.Cut(s, " ")
	return word, rest
}

// answer runs one query. It reports false if the connection breaks off without an answer.
func (s *session) answer(line string) (string, bool) {
	word, rest := cut(line)
	if word != "QUERY" {
		return "", false
	}
	id, text := cut(rest)
	g := s.b.g
	g.mu.Lock()
	defer g.mu.Unlock()
	body, ok := s.run(id, text)
	if !ok {
		return "", false
	}
	return body + "\r\nREADY " + s.state + " " + s.b.positionLocked().String() + "\r\n", true
}

func (s *session) fail(code string) (string, bool) {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.b.id, true
}

// work occupies a slot for the time that a statement works. It reports false if none is
// free.
func (s *session) work() bool {
	b := s.b
	if b.busy >= b.slots {
		return false
	}
	b.busy++
	b.g.mu.Unlock()
	time.Sleep(b.g.workTime)
	b.g.mu.Lock()
	b.busy--
	return true
}

func (s *session) run(id, text string) (string, bool) {
	b := s.b
	word, rest := cut(text)
	if word == "WAITLSN" {
		at, statement := cut(rest)
		term, number, _ := strings.Cut(at, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.ParseUint(number, 10, 64)
		if b.positionLocked().before(position{t, n}) {
			return s.fail("LAGGING")
		}
		text = statement
		word, rest = cut(text)
	}
	switch {
	case s.state == "E" && text != "ROLLBACK" && text != "COMMIT":
		return "ERROR MALFORMED", true
	case text == "STATUS" && b.busy >= b.slots:
		b.g.rec.add("%s answers STATUS with BUSY", b.id)
		return s.fail("BUSY")
	case text == "STATUS" || word == "STEPDOWN" || word == "PAUSE" || word == "RESUME":
		return s.command(word, rest), true
	case text == "BEGIN" && !b.primary:
		return s.fail("READONLY")
	case text == "BEGIN" || text == "BEGIN READ":
		s.state, s.writable = "T", text == "BEGIN"
		s.writes = nil
	case text == "ROLLBACK" || text == "COMMIT" && s.state == "E":
		s.state, s.writes = "I", nil
	case text == "RESET":
		clear(s.prepared)
		clear(s.values)
	case word == "PREPARE":
		name, definition := cut(rest)
		s.prepared[name] = definition
	case word == "SET":
		name, value := cut(rest)
		s.values[name] = value
	case word == "DEALLOC":
	default:
		return s.statement(id, word, rest)
	}
	return "COMPLETE -", true
}

// command runs a command of a control host. It answers with the status row.
func (s *session) command(word, argument string) string {
	b := s.b
	term, _ := strconv.ParseUint(argument, 10, 64)
	effect := false
	switch word {
	case "STEPDOWN":
		// It makes a primary of a lower term a replica.
		if b.primary && b.term < term {
			b.primary, effect = false, true
			b.notify()
			b.g.cond.Broadcast()
		}
	case "PAUSE":
		// It stops a replica if the term is above the newest term.
		if !b.primary && term > b.g.term {
			b.paused, b.pauseTerm, effect = true, term, true
		}
	case "RESUME":
		if b.paused {
			b.paused, b.pauseTerm, effect = false, 0, true
			b.g.catchUpLocked(b)
		}
	}
	role := "replica"
	if b.primary {
		role = "primary"
	}
	if word != "STATUS" {
		b.g.rec.add("%s gets %s %s; newest term %d, its log ends at %s; effect: %v", b.id, word, argument, b.g.term, b.positionLocked(), effect)
	}
	return fmt.Sprintf("DATAROW %s %d %s %d 0 0 %d\r\nCOMPLETE -", role, b.term, b.positionLocked(), b.pauseTerm, len(b.conns))
}

func (s *session) statement(id, word, rest string) (string, bool) {
	b := s.b
	item, data := cut(rest)
	if word == "EXECUTE" {
		var known bool
		if word, known = s.prepared[item]; !known {
			return s.fail("NOSTMT")
		}
		word, _ = cut(word)
		item, data = cut(data)
	}
	lost := s.state == "T" && s.writable && !b.primary && !(word == "COMMIT" && len(s.writes) == 0)
	if lost || word == "WRITE" && !b.primary {
		return s.fail("READONLY")
	}
	if !s.work() {
		return "ERROR BUSY " + b.id, true
	}
	if word != "READ" && len(s.writes)+len(data) > 0 && !b.primary {
		return s.fail("READONLY")
	}
	if b.g.onRun != nil {
		b.g.onRun(id, word, maps.Clone(s.values))
	}
	row := ""
	switch word {
	case "READ":
		value := "none"
		for i := len(b.log) - 1; i >= 0; i-- {
			if name, v := cut(b.log[i].data); name == item {
				value = v
				break
			}
		}
		row = "DATAROW " + value + "\r\n"
		if b.g.rows != nil {
			if rows := b.g.rows(item); rows != nil {
				row = "DATAROW " + strings.Join(rows, "\r\nDATAROW ") + "\r\n"
				b.g.rec.add("%s runs %s %s %s: %d rows, %d bytes", b.id, id, word, item, len(rows), len(row))
			}
		}
	case "WRITE":
		if s.state == "T" {
			s.writes = append(s.writes, item+" "+data)
		} else if !b.awaitSyncLocked(b.appendLocked(item + " " + data)) {
			return "", false
		}
	case "COMMIT":
		n := 0
		for _, w := range s.writes {
			n = b.appendLocked(w)
		}
		wrote := len(s.writes) > 0
		s.state, s.writes = "I", nil
		if wrote && !b.awaitSyncLocked(n) {
			return "", false
		}
	default:
		return s.fail("NOSTMT")
	}
	return row + "COMPLETE " + b.id + "." + id, true
}
