package pgcaller_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"lovageslip/caller/pgcaller"
	"lovageslip/class"
	"lovageslip/entry"
	"lovageslip/exchange"
	"lovageslip/registry"
	"lovageslip/session"
	"lovageslip/upstream"
)

// fixedDirectory is a registry.Directory whose view never changes.
type fixedDirectory struct{ view *registry.View }

func (d fixedDirectory) View() *registry.View     { return d.view }
func (d fixedDirectory) Changed() <-chan struct{} { return nil }

func testView(address string) *registry.View {
	return &registry.View{
		Version:       1,
		ConfigVersion: 1,
		Classes: map[string]class.Class{
			"current": {Name: "current", Wait: 5 * time.Second},
			"report":  {Name: "report", Wait: 5 * time.Second, Age: time.Minute},
		},
		Upstreams: map[string]registry.Upstream{
			"u1": {Name: "u1", Database: "shop", DataCentre: "luzon", Slots: 5, Owner: "p1", OwnerAddress: address},
		},
		Groups: map[string]registry.Group{
			"shop": {Database: "shop", Term: 1, Primary: "u1", Members: []string{"u1"}},
		},
	}
}

// execution records one statement that a fakeOwner has executed.
type execution struct {
	text      string
	mode      upstream.Mode
	requestID string
	stream    *fakeStream
}

// fakeOwner stands in for an owner and its upstream: it executes batches and
// answers each statement by its text.
type fakeOwner struct {
	// answer overrides the answer to a text; it returns false for the default
	// answer.
	answer func(ctx context.Context, text string, sink upstream.Sink) (handled bool, err error)

	// discardRecords turns off the record of executions, for long benchmarks.
	discardRecords bool
	// skipReady is true if answer sends ReadyForQuery itself.
	skipReady bool

	mu        sync.Mutex
	executed  []execution // guarded by mu
	closed    int         // guarded by mu
	cancels   chan struct{}
	committed upstream.Offset // guarded by mu
}

func (o *fakeOwner) texts() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var texts []string
	for _, e := range o.executed {
		texts = append(texts, e.text)
	}
	return texts
}

func (o *fakeOwner) Open(_ context.Context, open exchange.Open) (exchange.Stream, error) {
	return &fakeStream{owner: o, open: open}, nil
}

type fakeStream struct {
	owner *fakeOwner
	open  exchange.Open
	state upstream.TransactionState
}

func (s *fakeStream) Cancel(context.Context) error {
	select {
	case s.owner.cancels <- struct{}{}:
	default:
	}
	return nil
}

func (s *fakeStream) Close() error {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.owner.closed++
	return nil
}

func (s *fakeStream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
	if s.state == 0 {
		s.state = upstream.StateIdle
	}
	run := &fakeRun{stream: s, batch: batch, ctx: ctx, sink: sink, statements: map[string]string{}, portals: map[string]string{}}
	for _, p := range batch.Prepared {
		run.statements[p.Name] = p.SQL
	}
	return run.runAll()
}

// fakeRun executes the messages of one batch and collects the answer.
type fakeRun struct {
	stream     *fakeStream
	batch      upstream.Batch
	ctx        context.Context
	sink       upstream.Sink
	out        []byte
	statements map[string]string
	portals    map[string]string
	result     exchange.BatchResult
}

func (r *fakeRun) runAll() (exchange.BatchResult, error) {
	backend := pgproto3.NewBackend(strings.NewReader(string(r.batch.Payload)), nil)
	for {
		message, err := backend.Receive()
		if err != nil {
			break
		}
		if err := r.handle(message); err != nil {
			return exchange.BatchResult{}, err
		}
	}
	if err := r.sink(r.out); err != nil {
		return exchange.BatchResult{}, &sinkFailed{}
	}
	r.result.State = r.stream.state
	return r.result, nil
}

type sinkFailed struct{}

func (*sinkFailed) Error() string { return "sink failed" }

func (r *fakeRun) send(message pgproto3.BackendMessage) { r.out, _ = message.Encode(r.out) }

func (r *fakeRun) handle(message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		if err := r.execute(m.String, true); err != nil {
			return err
		}
		r.sendReady()
	case *pgproto3.Parse:
		r.statements[m.Name] = m.Query
		r.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		r.portals[m.DestinationPortal] = r.statements[m.PreparedStatement]
		r.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if m.ObjectType == 'S' {
			r.send(&pgproto3.ParameterDescription{})
		}
		r.send(rowDescription())
	case *pgproto3.Execute:
		return r.execute(r.portals[m.Portal], false)
	case *pgproto3.Close:
		r.send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		r.sendReady()
	}
	return nil
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("text"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func (r *fakeRun) sendReady() {
	if r.stream.owner.skipReady {
		return
	}
	status := map[upstream.TransactionState]byte{upstream.StateIdle: 'I', upstream.StateOpen: 'T', upstream.StateFailed: 'E'}
	r.send(&pgproto3.ReadyForQuery{TxStatus: status[r.stream.state]})
}

func (r *fakeRun) execute(text string, simple bool) error {
	o := r.stream.owner
	o.mu.Lock()
	if !o.discardRecords {
		o.executed = append(o.executed, execution{text: text, mode: r.batch.Mode, requestID: r.batch.RequestID, stream: r.stream})
	}
	o.mu.Unlock()
	if o.answer != nil {
		handled, err := o.answer(r.ctx, text, func(chunk []byte) error {
			r.out = append(r.out, chunk...)
			err := r.sink(r.out)
			r.out = r.out[:0]
			return err
		})
		if handled || err != nil {
			return err
		}
	}
	r.answerByKeyword(text, simple)
	return nil
}

func (r *fakeRun) answerByKeyword(text string, simple bool) {
	keyword, _ := entry.FirstKeyword(text)
	switch keyword {
	case "BEGIN":
		r.stream.state = upstream.StateOpen
	case "COMMIT":
		r.stream.state = upstream.StateIdle
		r.commit()
	case "ROLLBACK":
		r.stream.state = upstream.StateIdle
	case "INSERT", "UPDATE", "DELETE":
		if r.stream.state == upstream.StateIdle {
			r.commit()
		}
	default:
		if simple {
			r.send(rowDescription())
		}
		r.send(&pgproto3.DataRow{Values: [][]byte{[]byte(text)}})
	}
	r.send(&pgproto3.CommandComplete{CommandTag: []byte(keyword)})
}

func (r *fakeRun) commit() {
	r.stream.owner.mu.Lock()
	defer r.stream.owner.mu.Unlock()
	r.stream.owner.committed++
	r.result.Commit = upstream.Position{Term: 1, Offset: r.stream.owner.committed}
}

// testHost is a running entry proxy in front of a fake owner.
type testHost struct {
	server  *pgcaller.Server
	entry   *entry.Entry
	address string
	owner   *fakeOwner
	serving chan error
}

func newTokens(t testing.TB) *session.Signer {
	t.Helper()
	tokens, err := session.NewSigner(session.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return tokens
}

// ownerAddress is the address of the local owner in tests.
const ownerAddress = "127.0.0.1:1"

// startLocal starts a proxy whose owner is in the same process.
func startLocal(t testing.TB, owner *fakeOwner, change ...func(*pgcaller.Options)) *testHost {
	t.Helper()
	return start(t, owner, &exchange.LocalGateway{Address: ownerAddress, Handler: owner}, ownerAddress, change...)
}

// startRemote starts a proxy whose owner is behind the connect-go transport.
func startRemote(t testing.TB, owner *fakeOwner) *testHost {
	t.Helper()
	address := serveHTTP(t, func() (string, http.Handler) { return exchange.NewServer(owner) })
	client := exchange.NewClient(exchange.ClientOptions{})
	t.Cleanup(client.Close)
	return start(t, owner, client, address)
}

// serveHTTP serves a handler to other hosts and returns its address.
func serveHTTP(t testing.TB, handler func() (string, http.Handler)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mux := http.NewServeMux()
	mux.Handle(handler())
	server := &http.Server{Handler: mux}
	exchange.ConfigureServer(server)
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

func start(t testing.TB, owner *fakeOwner, gateway exchange.Gateway, address string, change ...func(*pgcaller.Options)) *testHost {
	t.Helper()
	owner.cancels = make(chan struct{}, 1)
	e := entry.New(entry.Options{
		Directory:  fixedDirectory{testView(address)},
		Gateway:    gateway,
		Tokens:     newTokens(t),
		HostName:   "p1",
		DataCentre: "luzon",
	})
	options := pgcaller.Options{Entry: e}
	for _, f := range change {
		f(&options)
	}
	h := &testHost{server: pgcaller.New(options), entry: e, owner: owner, serving: make(chan error, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.address = listener.Addr().String()
	go func() { h.serving <- h.server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_ = h.server.Shutdown(ctx)
	})
	return h
}

func (h *testHost) connect(t testing.TB, parameters string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), "postgres://app@"+h.address+"/shop?sslmode=disable"+parameters)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}
