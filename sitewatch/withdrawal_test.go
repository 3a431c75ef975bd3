package sitewatch

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/proxy"
	"lovageslip/site"
)

// The model of withdrawals plays one proxy and its control hosts in virtual time, with
// the decisions of Watch and Session. Updates and confirmations arrive late or never.
// A key is withdrawn and given back; no statement may run that was sent later than
// modelMaxKeyAge after the acknowledgement of a withdrawal.
const (
	modelMaxKeyAge = 5 * time.Second
	modelKey       = "k"
	// modelDays are played in each check, so that a broken decision shows in
	// nearly every run of the test.
	modelDays = 20
)

// modelConfig is a committed configuration. Its log index is its place in the list,
// from 1. It was acknowledged as soon as it was committed, which is the worst case.
type modelConfig struct {
	ackedAt  time.Time
	holdsKey bool
}

// modelReport is a report of the proxy, called at a time, to a control host that read
// the log up to index from the others just then.
type modelReport struct {
	calledAt time.Time
	index    int
}

type withdrawalModel struct {
	t       *rapid.T
	now     time.Time
	configs []modelConfig
	watch   *Watch
	proxy   *proxy.Proxy
	session *proxy.Session

	// updates are under way from one control host, and arrive in their order.
	updates []int
	reports []modelReport
	// statements were sent at these times and are under way.
	statements []time.Time
	ran        *int
}

func newWithdrawalModel(t *rapid.T, ran *int) *withdrawalModel {
	m := &withdrawalModel{t: t, now: time.Unix(1000, 0), watch: New(Options{Log: slog.New(slog.DiscardHandler)}), ran: ran}
	m.proxy = proxy.New(proxy.Options{MaxKeyAge: modelMaxKeyAge, ViewConfirmedAt: func() time.Time {
		// The proxy's clock is real, so the age in virtual time is subtracted
		// from it.
		return bootclock.Now().Add(m.watch.ViewConfirmedAt().Sub(m.now))
	}})
	m.commit(true)
	m.updates = []int{1}
	m.receiveUpdate()
	m.watch.confirm(confirmation{index: 1, at: m.now})
	session, refusal := m.proxy.Open("d", modelKey)
	assert.Assert(t, refusal == nil)
	m.session = session
	return m
}

func (m *withdrawalModel) commit(holdsKey bool) {
	m.configs = append(m.configs, modelConfig{m.now, holdsKey})
}

// SetView makes the model a Proxy. Answers of reports may arrive, and statements be
// checked, at any moment while the view changes.
func (m *withdrawalModel) SetView(v *site.View) {
	for len(m.reports) > 0 && rapid.Bool().Draw(m.t, "answer meanwhile") {
		m.receiveAnswer(m.t)
	}
	m.check(m.now)
	m.proxy.SetView(v)
	m.check(m.now)
}

func (m *withdrawalModel) PrimaryReachability() (unreachable, untried []string) { return nil, nil }

// check lets a statement arrive that was sent at a time.
func (m *withdrawalModel) check(sentAt time.Time) {
	if m.session == nil {
		return
	}
	reply := m.session.Do(context.Background(), &proxy.Statement{ID: "1", Kind: proxy.KindBegin})
	m.session.Do(context.Background(), &proxy.Statement{ID: "2", Kind: proxy.KindRollback})
	if reply.Refusal != nil {
		return
	}
	*m.ran++
	for i, c := range m.configs {
		givenBack := slices.ContainsFunc(m.configs[i:], func(later modelConfig) bool { return later.holdsKey })
		if !givenBack && sentAt.After(c.ackedAt.Add(modelMaxKeyAge)) {
			m.t.Fatalf("a statement ran that was sent %v after the withdrawal", sentAt.Sub(c.ackedAt))
		}
	}
}

func (m *withdrawalModel) receiveUpdate() {
	index := m.updates[0]
	m.updates = m.updates[1:]
	config := &pb.SiteConfig{
		Version: uint64(index), Groups: []*pb.SiteGroup{{Name: "g"}},
		Routes: []*pb.SiteRoute{{Database: "d", Group: "g"}}, Teams: []*pb.SiteTeam{{Name: "one"}},
	}
	if m.configs[index-1].holdsKey {
		digest := site.KeyDigest(modelKey)
		config.Teams[0].KeyDigests = [][]byte{digest[:]}
	}
	m.watch.applyUpdate("c", &pb.SiteUpdate{Index: uint64(index), Config: config}, m)
}

func (m *withdrawalModel) receiveAnswer(t *rapid.T) {
	r := take(t, &m.reports)
	m.watch.confirm(confirmation{index: uint64(r.index), at: r.calledAt})
}

// take removes an element of a list, for an arrival or a loss.
func take[T any](t *rapid.T, list *[]T) T {
	if len(*list) == 0 {
		t.Skip("nothing is under way")
	}
	i := rapid.IntRange(0, len(*list)-1).Draw(t, "which")
	taken := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return taken
}

func (m *withdrawalModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"time passes": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"commit": func(t *rapid.T) { m.commit(rapid.Bool().Draw(t, "holds key")) },
		"send update": func(*rapid.T) {
			m.updates = append(m.updates, len(m.configs))
		},
		"receive update": func(t *rapid.T) {
			if len(m.updates) == 0 {
				t.Skip("nothing is under way")
			}
			m.receiveUpdate()
		},
		"end of stream": func(*rapid.T) { m.updates = nil },
		"call report": func(t *rapid.T) {
			m.reports = append(m.reports, modelReport{calledAt: m.now, index: len(m.configs)})
		},
		"receive answer": m.receiveAnswer,
		"lose report":    func(t *rapid.T) { take(t, &m.reports) },
		"send statement": func(*rapid.T) { m.statements = append(m.statements, m.now) },
		"receive statement": func(t *rapid.T) {
			m.check(take(t, &m.statements))
		},
		"": func(*rapid.T) { m.check(m.now) }, // after each of the others
	}
}

// Guards against a withdrawn key on a proxy that hears of the withdrawal late or not
// at all.
func TestWithdrawnKeyRunsNowhereAfterItsTime(t *testing.T) {
	ran := 0
	rapid.Check(t, func(t *rapid.T) {
		for range modelDays {
			t.Repeat(newWithdrawalModel(t, &ran).actions())
		}
	})
	assert.Assert(t, ran > 0, "no statement ran at all")
}

// confirmationReader is a Proxy that notes which confirmation is visible while it has
// not taken the new view yet. One of the new view arrives meanwhile.
type confirmationReader struct {
	viewRecorder
	watch    *Watch
	arriving confirmation
	seen     time.Time
}

func (r *confirmationReader) SetView(v *site.View) {
	r.watch.confirm(r.arriving)
	r.seen = r.watch.ViewConfirmedAt()
	r.viewRecorder.SetView(v)
}

// Guards against a control host that lags: its confirmation is of a state that the
// view has not reached, or that the proxy has not taken over yet.
func TestConfirmationIsNotVisibleBeforeItsView(t *testing.T) {
	w := New(Options{Log: slog.New(slog.DiscardHandler)})
	p := &confirmationReader{watch: w}
	start := bootclock.Now().Add(-time.Minute)
	update := func(index uint64) {
		t.Helper()
		assert.Assert(t, w.applyUpdate("c", &pb.SiteUpdate{Index: index, Config: &pb.SiteConfig{Version: index}}, p))
	}
	update(5)
	assert.Assert(t, w.ViewConfirmedAt().IsZero())
	w.confirm(confirmation{5, start})
	assert.Equal(t, w.ViewConfirmedAt(), start)
	later := start.Add(time.Second)
	p.arriving = confirmation{6, later}
	w.confirm(p.arriving)
	assert.Equal(t, w.ViewConfirmedAt(), start, "the view has not reached the state")
	update(6)
	assert.Equal(t, p.seen, start, "the proxy had not taken the view over")
	assert.Equal(t, w.ViewConfirmedAt(), later)
	w.confirm(confirmation{6, start})
	assert.Equal(t, w.ViewConfirmedAt(), later, "a delayed answer")
}

// Guards against a key's bound that is shorter than the usual times to confirm a view:
// the proxy would refuse callers while all control hosts run.
func TestShortBoundsAreConfirmedSooner(t *testing.T) {
	usual, short := New(Options{}), New(Options{MaxViewAge: 2 * time.Second})
	assert.Equal(t, usual.lagLimit(), maxViewAge)
	assert.Equal(t, short.lagLimit(), 1400*time.Millisecond)
	for _, w := range []*Watch{usual, short} {
		w.answeredReportAt = bootclock.Now()
		w.currentAt = w.answeredReportAt.Add(-time.Second)
	}
	assert.Assert(t, !usual.confirmationDue())
	assert.Assert(t, short.confirmationDue())
}
