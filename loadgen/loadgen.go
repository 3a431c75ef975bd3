// Package loadgen generates open-loop load for the command "lovageslip load"
// and for benchmarks: each request is due at a scheduled time, whether or not
// earlier ones have been answered, and its latency counts from that time. The
// results therefore include the wait of requests that a stalled server delayed.
package loadgen

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"lovageslip/fault"
	"lovageslip/internal/pause"
	"lovageslip/logging"
	"lovageslip/metrics"
)

const (
	defaultSessions = 64
	defaultTimeout  = 10 * time.Second
	// queueLength is how many requests of a class may wait for a session; more
	// are counted as dropped.
	queueLength = 1 << 20
)

// Options configures a run of the load generator, see Run.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Targets are the addresses of proxies or database servers; the sessions
	// of each class are spread evenly over them.
	Targets  []string
	Database string
	User     string
	Profile  Profile
	// Sessions is the number of connections for each class; 64 if zero. All
	// work of a class shares them, so that reads are also sent on sessions that
	// have written.
	Sessions int
	// Seed makes the schedule reproducible: it depends only on the profile and
	// the seed.
	Seed uint64
	// Timeout ends a request that has no answer, counted from when a session
	// took it from the queue; 10 s if zero.
	Timeout time.Duration
	// Extended sends statements by PostgreSQL's extended query protocol, with
	// the row number as a parameter, instead of the simple query protocol.
	Extended bool
	// Hook runs once at HookAt after the start, for example to stop the
	// primary.
	HookAt time.Duration
	Hook   func(context.Context)
}

// run is the state of one call of Run.
type run struct {
	options   Options
	log       *slog.Logger
	metrics   tally.Scope
	start     time.Time
	templates []sqlTemplate
	recorders []*recorder
	// queues holds the requests that wait for a session, by class. The sessions
	// of a class share its queue.
	queues map[string]chan arrival
}

// Run opens the sessions, sends the requests of the profile and returns the
// results. If ctx ends early, no further requests are scheduled; those already
// queued or sent are finished.
// Errors: *fault.Invalid, *fault.IO if a session can't be opened.
func Run(ctx context.Context, options Options) (*Result, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	r := newRun(options)
	sessions, err := r.connect(ctx)
	if err != nil {
		return nil, err
	}
	var tasks conc.WaitGroup
	r.start = time.Now()
	for _, s := range sessions {
		tasks.Go(s.serve)
	}
	stopHook := r.armHook(ctx)
	r.dispatch(ctx)
	for _, queue := range r.queues {
		close(queue)
	}
	tasks.Wait()
	stopHook()
	return r.result(), nil
}

// complete checks the options and fills in the defaults.
func (o *Options) complete() error {
	if len(o.Targets) == 0 {
		return &fault.Invalid{Field: "targets", Allowed: "at least one address"}
	}
	if len(o.Profile.Work) == 0 || o.Profile.Rate <= 0 || o.Profile.Duration <= 0 {
		return &fault.Invalid{Field: "profile", Value: o.Profile.Name, Allowed: "work, a rate and a duration"}
	}
	if o.Sessions == 0 {
		o.Sessions = defaultSessions
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.User == "" {
		o.User = "load"
	}
	return nil
}

func newRun(options Options) *run {
	r := &run{
		options: options,
		log:     logging.For(options.Log, "loadgen"),
		metrics: metrics.OrNoop(options.Metrics).SubScope("loadgen"),
		queues:  map[string]chan arrival{},
	}
	for _, work := range options.Profile.Work {
		if r.queues[work.Class] == nil {
			r.queues[work.Class] = make(chan arrival, queueLength)
		}
		r.templates = append(r.templates, newTemplate(work))
		r.recorders = append(r.recorders, newRecorder(work, options.Profile.Duration))
	}
	return r
}

// armHook starts the timer of Options.Hook. The returned function stops it, or
// waits until the hook returns if it is running.
func (r *run) armHook(ctx context.Context) func() {
	if r.options.Hook == nil {
		return func() {}
	}
	done := make(chan struct{})
	var hook conc.WaitGroup
	hook.Go(func() {
		timer := time.NewTimer(r.options.HookAt)
		defer timer.Stop()
		select {
		case <-timer.C:
			r.options.Hook(ctx)
		case <-done:
		}
	})
	return func() {
		close(done)
		hook.Wait()
	}
}

// dispatch puts each request into the queue of its class when it is due, until
// the schedule or ctx ends.
func (r *run) dispatch(ctx context.Context) {
	plan := newSchedule(r.options.Profile, r.options.Seed)
	for {
		next, ok := plan.next()
		if !ok || !r.sleepUntil(ctx, next.due) {
			return
		}
		select {
		case r.queues[r.options.Profile.Work[next.work].Class] <- next:
		default:
			r.recorders[next.work].recordDropped(next.due)
		}
	}
}

// sleepUntil waits until due after the start of the run and reports false if ctx
// ends first.
func (r *run) sleepUntil(ctx context.Context, due time.Duration) bool {
	wait := time.Until(r.start.Add(due))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return pause.For(ctx, wait)
}

// Setup creates the table that the profiles use, unless it exists, and fills it
// with Rows rows. It connects to address without TLS.
// Errors: *fault.IO.
func Setup(ctx context.Context, address, database string) error {
	conn, err := pgconn.Connect(ctx, "postgres://load@"+address+"/"+database+"?sslmode=disable")
	if err != nil {
		return &fault.IO{Op: "connect to " + address, Err: err}
	}
	defer conn.Close(ctx)
	for _, sql := range setupStatements() {
		if _, err := conn.Exec(ctx, sql).ReadAll(); err != nil {
			return &fault.IO{Op: "set up", Err: err}
		}
	}
	return nil
}

func setupStatements() []string {
	var values []string
	for i := 1; i <= Rows; i++ {
		values = append(values, fmt.Sprintf("(%d, 'account %d', 0)", i, i))
	}
	return []string{
		"CREATE TABLE IF NOT EXISTS load_accounts (id BIGINT PRIMARY KEY, name TEXT, balance BIGINT)",
		"INSERT INTO load_accounts (id, name, balance) VALUES " + strings.Join(values, ", ") + " ON CONFLICT DO NOTHING",
	}
}
