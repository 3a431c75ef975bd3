package entry_test

import (
	"context"

	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"lovageslip/class"
	"lovageslip/entry"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/registry"
	"lovageslip/session"
	"lovageslip/upstream"
)

// directory is a fake Directory with a view that tests replace.
type directory struct {
	mu      sync.Mutex
	view    *registry.View // guarded by mu
	changed chan struct{}  // guarded by mu
}

func newDirectory(v *registry.View) *directory {
	return &directory{view: v, changed: make(chan struct{})}
}

func (d *directory) View() *registry.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

func (d *directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *directory) replace(v *registry.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	close(d.changed)
	d.changed = make(chan struct{})
}

func view(version uint64, primary string) *registry.View {
	newUpstream := func(name, dataCentre string) registry.Upstream {
		return registry.Upstream{Name: name, Database: "shop", DataCentre: dataCentre, Owner: "p", OwnerAddress: name}
	}
	return &registry.View{
		Version: version, ConfigVersion: version,
		Classes: map[string]class.Class{
			"current": {Name: "current", Wait: 2 * time.Second},
			"quick":   {Name: "quick", Wait: 50 * time.Millisecond},
			"report":  {Name: "report", Wait: 2 * time.Second, Age: time.Minute},
		},
		Upstreams: map[string]registry.Upstream{"u1": newUpstream("u1", "visayas"), "u2": newUpstream("u2", "luzon"), "u3": newUpstream("u3", "mindanao")},
		Groups:    map[string]registry.Group{"shop": {Database: "shop", Primary: primary}},
	}
}

// try is one batch that a fake owner received.
type try struct {
	upstream string
	batch    upstream.Batch
	open     exchange.Open
	stream   *stream
}

// answer is the reaction of a fake owner to a try.
type answer func(ctx context.Context, t try, sink upstream.Sink) (exchange.BatchResult, error)

// gateway is a fake Gateway. The owners of all upstreams give the same answer.
type gateway struct {
	answer answer

	mu    sync.Mutex
	tries []try // guarded by mu
}

func (g *gateway) OpenAt(_ context.Context, _ string, open exchange.Open) (exchange.Stream, error) {
	return &stream{gateway: g, open: open, closed: make(chan struct{}), cancelled: make(chan struct{})}, nil
}

// triedUpstreams returns the names of the upstreams that were tried, in order.
func (g *gateway) triedUpstreams() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var names []string
	for _, t := range g.tries {
		names = append(names, t.upstream)
	}
	return names
}

func (g *gateway) try(i int) try {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tries[i]
}

type stream struct {
	gateway   *gateway
	open      exchange.Open
	closing   sync.Once
	closed    chan struct{}
	cancelled chan struct{}
}

func (s *stream) Run(ctx context.Context, batch upstream.Batch, sink upstream.Sink) (exchange.BatchResult, error) {
	t := try{upstream: s.open.Upstream, batch: batch, open: s.open, stream: s}
	s.gateway.mu.Lock()
	s.gateway.tries = append(s.gateway.tries, t)
	s.gateway.mu.Unlock()
	return s.gateway.answer(ctx, t, sink)
}

func (s *stream) Cancel(context.Context) error {
	close(s.cancelled)
	return nil
}

func (s *stream) Close() error {
	s.closing.Do(func() { close(s.closed) })
	return nil
}

// harness is an Entry with a fake directory and gateway.
type harness struct {
	*entry.Entry
	directory *directory
	gateway   *gateway
	metrics   tally.TestScope
}

func tokens(t testing.TB) *session.Signer {
	t.Helper()
	s, err := session.NewSigner(session.Key{ID: 1, Secret: []byte("0123456789abcdef")})
	assert.NilError(t, err)
	return s
}

func newHarness(t testing.TB, a answer) *harness {
	t.Helper()
	h := &harness{directory: newDirectory(view(1, "u1")), gateway: &gateway{answer: a}, metrics: tally.NewTestScope("", nil)}
	h.Entry = entry.New(entry.Options{
		Directory: h.directory, Gateway: h.gateway, Tokens: tokens(t), HostName: "p1", DataCentre: "luzon", Metrics: h.metrics,
	})
	return h
}

func (h *harness) session(t testing.TB, class string) *entry.Session {
	t.Helper()
	s, err := h.Open("shop", "app@host")
	assert.NilError(t, err)
	assert.NilError(t, s.SetClass(class))
	return s
}

func discard([]byte) error { return nil }

func request(texts ...string) entry.Request {
	return entry.Request{Payload: []byte("payload"), Texts: texts}
}

func idle() (exchange.BatchResult, error) {
	return exchange.BatchResult{State: upstream.StateIdle}, nil
}

func committed(offset upstream.Offset) (exchange.BatchResult, error) {
	return exchange.BatchResult{State: upstream.StateIdle, Commit: upstream.Position{Term: 1, Offset: offset}}, nil
}

func notRun(reason fault.Reason) (exchange.BatchResult, error) {
	return exchange.BatchResult{}, &fault.NotRun{Reason: reason, Detail: "refused by the fake owner"}
}

func unknownOutcome() (exchange.BatchResult, error) {
	return exchange.BatchResult{}, &fault.OutcomeUnknown{Reason: fault.ReasonOutcomeUnknown, Detail: "link died"}
}

// counter returns the value of the counter with a name and a label reason.
func (h *harness) counter(name string, reason fault.Reason) int64 {
	var total int64
	for _, c := range h.metrics.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["reason"] == string(reason) {
			total += c.Value()
		}
	}
	return total
}
