package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is one commit in the log of a service.
type entry struct {
	term, number int
	writes       map[string]string
}

// service is a primary and its replicas, as PROTOCOL.md describes them, and the
// platform's promotion call for them.
type service struct {
	record *record
	name   string
	// sync is how many replicas must have received a commit before it is acknowledged.
	sync  int
	slots int
	lag   time.Duration
	// distance is how long an answer takes on its way to a control host.
	distance time.Duration
	promote  time.Duration
	controls func() []string

	mu      sync.Mutex
	servers []*server
	term    int
	token   uint64
	// acknowledged holds the commits that were acknowledged to a proxy, by data.
	acknowledged map[string]bool
	promotions   []promotion
	// unfenced is set if the platform doesn't check fences.
	unfenced bool
	// calls are the promotion calls that the platform has received.
	calls []promotionCall
	// onStepDown is called, with mu held, when a server is told to step down.
	onStepDown func(s *server)
	// leader is the address that the last acknowledgement of a heartbeat named.
	leader string
	// onStatement is called, with mu held, for each statement that runs.
	onStatement func(s *server, c *serverConn, id, text, shape string)
}

// promotion is what a promotion did: the server, and which acknowledged commits its log
// lacked.
type promotion struct {
	server  string
	missing []string
}

// promotionCall is a promotion call as the platform has received it.
type promotionCall struct {
	holder, id string
	token      uint64
}

// server is one backend.
type server struct {
	service  *service
	id, zone string
	listener net.Listener
	address  string
	born     int64
	seq      uint64
	// The fields below are guarded by service.mu.
	primary, down, draining bool
	// deaf is set while the server receives nothing from the primary.
	deaf       bool
	ackedDrain time.Time
	term       int
	log        []entry // what it has received
	applied    int     // how many of them it has applied
	conns      map[net.Conn]bool
	stop       chan struct{}
}

type serverConn struct {
	server   *server
	who      string
	state    string // I, T or E
	readOnly bool
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
}

const heartbeatInterval = 1200 * time.Millisecond

func newService(r *record, name string, count, sync int, controls func() []string) (*service, error) {
	g := &service{
		record: r, name: name, sync: sync, slots: 5, lag: 8 * time.Millisecond, promote: 600 * time.Millisecond,
		controls: controls, term: 1, acknowledged: map[string]bool{},
	}
	for i := range count {
		if _, err := g.add(fmt.Sprintf("i-%s-%d", name, i+1), i == 0); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *service) add(id string, primary bool) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	zones := []string{"luzon-qc", "visayas-ceb", "mindanao-dvo"}
	s := &server{
		service: g, id: id, zone: zones[len(g.servers)%3], listener: l, address: l.Addr().String(), born: time.Now().UnixMilli(),
		primary: primary, term: 1, conns: map[net.Conn]bool{}, stop: make(chan struct{}),
	}
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	go s.accept()
	return s, nil
}

// startHeartbeats begins the announcements of all servers.
func (g *service) startHeartbeats() {
	for _, s := range g.servers {
		go s.heartbeats()
	}
}

func (g *service) update(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// crash makes a server silent: its connections end, and it accepts none.
func (s *server) crash() {
	s.service.update(func() {
		s.down = true
		for c := range s.conns {
			_ = c.Close()
		}
		clear(s.conns)
	})
	s.service.record.printf("server %s crashes", s.id)
}

// drain makes a server announce that it is draining, as before a planned shutdown.
func (s *server) drain() {
	s.service.update(func() { s.draining = true })
	s.service.record.printf("server %s begins to drain", s.id)
	s.announce()
}

func (s *server) heartbeats() {
	for {
		s.announce()
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// announce sends one heartbeat, to one node after the other until one acknowledges it.
func (s *server) announce() {
	g := s.service
	g.mu.Lock()
	if s.down {
		g.mu.Unlock()
		return
	}
	s.seq++
	state, role := "ready", "replica"
	if s.draining {
		state = "draining"
	}
	if s.primary {
		role = "primary"
	}
	draining := s.draining
	body, err := json.Marshal(map[string]any{
		"service": g.name, "address": s.address, "zone": s.zone, "version": "v1", "slots": g.slots, "state": state,
		"cold_remaining_ms": 0, "db_role": role, "seq": s.seq, "born": s.born,
	})
	start := int(s.seq)
	g.mu.Unlock()
	if err != nil {
		return
	}
	controls := g.controls()
	for i := range controls {
		status, answer, err := call(http.MethodPut, controls[(start+i)%len(controls)], "/-/instances/"+s.id, body)
		if err != nil || status/100 != 2 {
			continue
		}
		var named struct {
			URL string `json:"heartbeat_url"`
		}
		_ = json.Unmarshal(answer, &named)
		g.update(func() {
			g.leader = named.URL
			if draining && s.ackedDrain.IsZero() {
				s.ackedDrain = time.Now()
				g.record.printf("server %s: draining is acknowledged", s.id)
			}
		})
		return
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.service.mu.Lock()
		if s.down {
			_ = c.Close()
		} else {
			s.conns[c] = true
			go s.serve(c)
		}
		s.service.mu.Unlock()
	}
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	sc := &serverConn{server: s, state: "I", writes: map[string]string{}, values: map[string]string{}, prepared: map[string]string{}}
	for first := true; ; first = false {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		var reply string
		ok := true
		if first {
			reply, ok = sc.startup(line)
		} else {
			reply, ok = sc.answer(line)
		}
		if _, err := c.Write([]byte(reply)); err != nil || !ok {
			return
		}
	}
}

func (c *serverConn) startup(line string) (string, bool) {
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != c.server.service.name || len(fields) > 3 && fields[3] != c.server.id {
		return "ERROR WRONGNODE " + c.server.id + "\r\n", false
	}
	c.who = fields[2]
	g := c.server.service
	g.mu.Lock()
	defer g.mu.Unlock()
	return "READY I " + c.server.position() + "\r\n", true
}

// position returns TERM.NUMBER of what the server has applied.
func (s *server) position() string {
	number := 0
	if s.applied > 0 {
		number = s.log[s.applied-1].number
	}
	return fmt.Sprintf("%d.%d", s.term, number)
}

func (c *serverConn) answer(line string) (string, bool) {
	word, rest, _ := strings.Cut(line, " ")
	if word == "TERMINATE" {
		return "", false
	}
	id, text, _ := strings.Cut(rest, " ")
	g := c.server.service
	body, wait := c.begin(id, text)
	if wait != nil {
		<-wait
	}
	if c.who == "control" {
		time.Sleep(g.distance)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.server.down {
		return "", false
	}
	return body + "READY " + c.state + " " + c.server.position() + "\r\n", true
}

// begin runs a statement. If its answer depends on a replica, it returns a channel that
// is closed once that has received the commit.
func (c *serverConn) begin(id, text string) (body string, wait <-chan struct{}) {
	s := c.server
	g := s.service
	g.mu.Lock()
	defer g.mu.Unlock()
	word, rest, _ := strings.Cut(text, " ")
	if word == "WAITLSN" {
		position, statement, _ := strings.Cut(rest, " ")
		if !s.holds(position) {
			return c.fail("LAGGING"), nil
		}
		text = statement
		word, rest, _ = strings.Cut(text, " ")
	}
	switch {
	case text == "STATUS":
		return s.status(), nil
	case word == "STEPDOWN":
		if g.onStepDown != nil {
			g.onStepDown(s)
		}
		if term, err := strconv.Atoi(rest); err == nil && s.primary && s.term < term {
			s.primary = false
			g.record.printf("server %s steps down", s.id)
		}
		return s.status(), nil
	case text == "BEGIN" && !s.primary:
		return c.fail("READONLY"), nil
	case text == "BEGIN" || text == "BEGIN READ":
		c.state, c.readOnly = "T", text == "BEGIN READ"
		return "COMPLETE -\r\n", nil
	case text == "ROLLBACK":
		c.state = "I"
		clear(c.writes)
		return "COMPLETE -\r\n", nil
	case text == "RESET":
		clear(c.values)
		clear(c.prepared)
		return "COMPLETE -\r\n", nil
	case word == "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.values[name] = value
		return "COMPLETE -\r\n", nil
	case word == "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		c.prepared[name] = definition
		return "COMPLETE -\r\n", nil
	case word == "DEALLOC":
		delete(c.prepared, rest)
		return "COMPLETE -\r\n", nil
	case c.state == "E":
		return "ERROR MALFORMED\r\n", nil
	}
	return c.statement(id, text, word, rest)
}

func (c *serverConn) statement(id, text, word, rest string) (string, <-chan struct{}) {
	s := c.server
	shape := ""
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		definition, ok := c.prepared[name]
		if !ok {
			return c.fail("NOSTMT"), nil
		}
		word, shape, _ = strings.Cut(definition, " ")
		rest = arguments
	}
	lost := c.state == "T" && !c.readOnly && !s.primary && !(word == "COMMIT" && len(c.writes) == 0)
	if lost || word == "WRITE" && !s.primary {
		return c.fail("READONLY"), nil
	}
	if s.service.onStatement != nil {
		s.service.onStatement(s, c, id, text, shape)
	}
	signature := "COMPLETE " + s.id + "." + id + "\r\n"
	switch word {
	case "READ":
		return "DATAROW " + s.read(rest, shape) + "\r\n" + signature, nil
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		c.writes[item] = data
		if c.state == "T" {
			return signature, nil
		}
		return signature, c.commit()
	case "COMMIT":
		c.state = "I"
		return signature, c.commit()
	default:
		return c.fail("FAILED"), nil
	}
}

func (c *serverConn) fail(code string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return "ERROR " + code + " " + c.server.id + "\r\n"
}

func (s *server) status() string {
	role, number := "replica", 0
	if s.primary {
		role = "primary"
	}
	if len(s.log) > 0 {
		number = s.log[len(s.log)-1].number
	}
	return fmt.Sprintf("DATAROW %s %d %d.%d 0 %d 0 %d\r\nCOMPLETE -\r\n", role, s.term, s.term, number, s.service.lag.Milliseconds(), len(s.conns))
}

// holds reports whether the server has applied a position. One of an earlier term is
// held by each log of a later one.
func (s *server) holds(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, errTerm := strconv.Atoi(term)
	n, errNumber := strconv.Atoi(number)
	if errTerm != nil || errNumber != nil {
		return false
	}
	last := 0
	if s.applied > 0 {
		last = s.log[s.applied-1].number
	}
	return t < s.term || t == s.term && n <= last
}

// read returns the newest data of an item that the server has applied, with the shape of
// the prepared statement that read it.
func (s *server) read(item, shape string) string {
	data := "none"
	for i := s.applied - 1; i >= 0; i-- {
		if d, ok := s.log[i].writes[item]; ok {
			data = d
			break
		}
	}
	if shape != "" {
		return shape + ":" + item + ":" + data
	}
	return data
}

// commit appends a transaction's writes to the primary's log and sends them to the
// replicas. The commit is acknowledged once service.sync replicas have received it.
func (c *serverConn) commit() <-chan struct{} {
	s := c.server
	g := s.service
	if len(c.writes) == 0 {
		return nil
	}
	number := 1
	if len(s.log) > 0 {
		number = s.log[len(s.log)-1].number + 1
	}
	e := entry{term: s.term, number: number, writes: c.writes}
	c.writes = map[string]string{}
	s.log = append(s.log, e)
	s.applied = len(s.log)
	done := make(chan struct{})
	acknowledge := func() {
		for _, data := range e.writes {
			g.acknowledged[data] = true
		}
		close(done)
	}
	if g.sync == 0 {
		acknowledge()
	}
	received := 0
	for _, r := range g.servers {
		if r == s {
			continue
		}
		time.AfterFunc(g.lag, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			// What a server has missed comes with the next commit that it receives.
			if r.down || r.deaf || s.down || !s.primary || s.term != e.term {
				return
			}
			for len(r.log) < len(s.log) && s.log[len(r.log)].number <= e.number {
				r.log = append(r.log, s.log[len(r.log)])
			}
			r.term, r.applied = s.term, len(r.log)
			received++
			if received == g.sync {
				acknowledge()
			}
		})
	}
	return done
}

// ServeHTTP is the platform: POST /promote, with fences.
func (g *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var chosen *server
	for _, s := range g.servers {
		if s.id == body.ID {
			chosen = s
		}
	}
	status := http.StatusOK
	if token < g.token && !g.unfenced || chosen == nil || chosen.down {
		status = http.StatusConflict
	}
	g.calls = append(g.calls, promotionCall{r.Header.Get("X-Lease-Holder"), body.ID, token})
	g.record.printf("platform: promote %s, holder %s, token %d: %d", body.ID, r.Header.Get("X-Lease-Holder"), token, status)
	w.WriteHeader(status)
	if status != http.StatusOK {
		return
	}
	g.token = max(g.token, token)
	if !chosen.primary {
		time.AfterFunc(g.promote, func() { g.lead(chosen) })
	}
}

// lead makes a server lead the next term with what it has received, and nothing more.
func (g *service) lead(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.down || s.primary {
		return
	}
	g.term++
	inLog := map[string]bool{}
	for _, e := range s.log {
		for _, data := range e.writes {
			inLog[data] = true
		}
	}
	p := promotion{server: s.id}
	for data := range g.acknowledged {
		if !inLog[data] {
			p.missing = append(p.missing, data)
		}
	}
	g.promotions = append(g.promotions, p)
	last := 0
	if len(s.log) > 0 {
		last = s.log[len(s.log)-1].number
	}
	for _, other := range g.servers {
		g.record.printf("log of %s at the promotion: %d commits (down %v, deaf %v, draining %v)", other.id, len(other.log), other.down, other.deaf, other.draining)
		if len(other.log) > len(s.log) {
			other.log = other.log[:len(s.log)]
		}
		other.applied = min(other.applied, len(other.log))
		other.primary = other == s
	}
	s.term, s.applied = g.term, len(s.log)
	g.record.printf("server %s leads term %d with its log up to %d; acknowledged commits that it lacks: %d", s.id, g.term, last, len(p.missing))
	go s.announce()
}

// replace ends a server that has drained, as PROTOCOL.md says: it sends DELETE and exits,
// and a new backend at its address has its log.
func (s *server) replace() {
	g := s.service
	g.mu.Lock()
	id := s.id
	g.mu.Unlock()
	for _, address := range g.controls() {
		if status, _, err := call(http.MethodDelete, address, "/-/instances/"+id, nil); err == nil && status/100 == 2 {
			break
		}
	}
	g.update(func() {
		for c := range s.conns {
			_ = c.Close()
		}
		clear(s.conns)
		s.id += "n"
		s.draining, s.primary = false, false
		s.born, s.seq, s.ackedDrain = time.Now().UnixMilli(), 0, time.Time{}
	})
	g.record.printf("server %s has ended; %s has its address and its log", id, s.id)
	s.announce()
}

func (g *service) stop() {
	for _, s := range g.servers {
		close(s.stop)
		_ = s.listener.Close()
	}
}
