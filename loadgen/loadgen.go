// Package loadgen is an open-loop load tool: requests start by a schedule of
// their own, whether or not earlier ones have been answered, and latency counts
// from the scheduled start. A server that stalls therefore can't hide the
// requests that it kept from starting.
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
	// queueLength is how many requests of a class may wait for a session.
	queueLength = 1 << 20
)

// Options describes a run.
type Options struct {
	Log     *slog.Logger
	Metrics tally.Scope
	// Targets are addresses of proxies or servers; sessions are spread over
	// them.
	Targets  []string
	Database string
	User     string
	Profile  Profile
	// Sessions is the number of connections for each class; 64 if zero. All
	// work of a class shares them, so that reads follow writes of their own
	// session.
	Sessions int
	// Seed fixes the schedule.
	Seed uint64
	// Timeout ends a request that has no answer, counted from when it was
	// sent; 10 s if zero.
	Timeout time.Duration
	// Extended uses the extended protocol with a parameter, instead of the
	// simple protocol.
	Extended bool
	// Hook runs once at HookAt after the start, for example to stop the
	// primary.
	HookAt time.Duration
	Hook   func(context.Context)
}

// run is a run in progress.
type run struct {
	options Options
	log     *slog.Logger
	metrics tally.Scope
	start   time.Time
	texts   []text
	records []*recorder
	// queues holds the requests that wait for a session, by class.
	queues map[string]chan arrival
}

// Run opens the sessions, plays the profile and returns the results. A context
// that ends early ends the schedule; requests under way are finished.
// Errors: *fault.Invalid, *fault.IO if no session can be opened.
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
	r.play(ctx)
	for _, queue := range r.queues {
		close(queue)
	}
	tasks.Wait()
	stopHook()
	return r.result(), nil
}

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
		r.texts = append(r.texts, newText(work))
		r.records = append(r.records, newRecorder(work, options.Profile.Duration))
	}
	return r
}

// armHook runs the hook at its time, or not at all if the run ends before.
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

// play hands out the requests when they are due.
func (r *run) play(ctx context.Context) {
	plan := newSchedule(r.options.Profile, r.options.Seed)
	for {
		next, ok := plan.next()
		if !ok || !r.sleepUntil(ctx, next.at) {
			return
		}
		select {
		case r.queues[r.options.Profile.Work[next.work].Class] <- next:
		default:
			r.records[next.work].dropped(next.at)
		}
	}
}

func (r *run) sleepUntil(ctx context.Context, at time.Duration) bool {
	wait := time.Until(r.start.Add(at))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	return pause.For(ctx, wait)
}

// Setup creates the table that the profiles use and fills it.
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
