package loadgen

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sourcegraph/conc/pool"

	"lovageslip/fault"
)

const (
	outcomeOK           = "ok"
	outcomeTimeout      = "timeout"
	outcomeDisconnected = "disconnected"
	outcomeNoConnection = "no_connection"
	outcomeDropped      = "dropped"

	sessionParameter   = "lovageslip.session"
	classParameter     = "lovageslip.class"
	reconnectDelay     = 50 * time.Millisecond
	maxConcurrentDials = 32
)

// session is one connection that takes requests from the queue of its class. When
// it reconnects, it presents the last session token that it received.
type session struct {
	run    *run
	queue  chan arrival
	config *pgconn.Config
	conn   *pgconn.PgConn
	token  string
}

// sqlTemplate is a statement, split at its parameter $1.
type sqlTemplate struct {
	before, after string
}

func newTemplate(w Work) sqlTemplate {
	before, after, _ := strings.Cut(w.statement(), "$1")
	return sqlTemplate{before: before, after: after}
}

// connect opens all sessions and closes them again if one can't be opened.
func (r *run) connect(ctx context.Context) ([]*session, error) {
	var sessions []*session
	for class, queue := range r.queues {
		for i := range r.options.Sessions {
			s, err := r.newSession(r.options.Targets[i%len(r.options.Targets)], class, queue)
			if err != nil {
				return nil, err
			}
			sessions = append(sessions, s)
		}
	}
	tasks := pool.New().WithMaxGoroutines(maxConcurrentDials).WithErrors().WithFirstError()
	for _, s := range sessions {
		tasks.Go(func() error { return s.dial(ctx) })
	}
	if err := tasks.Wait(); err != nil {
		for _, s := range sessions {
			s.close()
		}
		return nil, &fault.IO{Op: "open sessions", Err: err}
	}
	return sessions, nil
}

func (r *run) newSession(target, class string, queue chan arrival) (*session, error) {
	address := "postgres://" + r.options.User + "@" + target + "/" + r.options.Database + "?sslmode=disable"
	config, err := pgconn.ParseConfig(address)
	if err != nil {
		return nil, &fault.Invalid{Field: "target", Value: target, Allowed: "IP number and port"}
	}
	if class != "" {
		config.RuntimeParams[classParameter] = class
	}
	return &session{run: r, queue: queue, config: config}, nil
}

func (s *session) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.run.options.Timeout)
	defer cancel()
	if s.token != "" {
		s.config.RuntimeParams[sessionParameter] = s.token
	}
	conn, err := pgconn.ConnectConfig(ctx, s.config)
	if err == nil {
		s.conn = conn
	}
	return err
}

func (s *session) close() {
	if s.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
}

// serve executes requests one after the other until the queue is closed.
func (s *session) serve() {
	defer s.close()
	for next := range s.queue {
		sent := time.Now()
		outcome := s.request(next)
		s.run.recorders[next.work].recordFinished(next.due, s.run.start, sent, time.Now(), outcome)
		labels := map[string]string{"work": s.run.options.Profile.Work[next.work].Name, "outcome": outcome}
		s.run.metrics.Tagged(labels).Counter("requests").Inc(1)
	}
}

func (s *session) request(next arrival) string {
	ctx, cancel := context.WithTimeout(context.Background(), s.run.options.Timeout)
	defer cancel()
	if s.conn == nil || s.conn.IsClosed() {
		if err := s.dial(ctx); err != nil {
			// Without a pause, a session whose connections are refused would
			// take all queued requests at once and fail them.
			time.Sleep(reconnectDelay)
			return outcomeForError(err, outcomeNoConnection)
		}
	}
	err := s.execute(ctx, s.run.templates[next.work], strconv.Itoa(next.row))
	s.token = s.conn.ParameterStatus(sessionParameter)
	if err != nil {
		return outcomeForError(err, outcomeDisconnected)
	}
	return outcomeOK
}

func (s *session) execute(ctx context.Context, t sqlTemplate, row string) error {
	if s.run.options.Extended {
		result := s.conn.ExecParams(ctx, t.before+"$1"+t.after, [][]byte{[]byte(row)}, nil, nil, nil)
		_, err := result.Close()
		return err
	}
	return s.conn.Exec(ctx, t.before+row+t.after).Close()
}

// outcomeForError returns the SQLSTATE that the server answered with, or timeout,
// or fallback for other errors.
func outcomeForError(err error, fallback string) string {
	var failure *pgconn.PgError
	if errors.As(err, &failure) {
		return failure.Code
	}
	if errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err) {
		return outcomeTimeout
	}
	return fallback
}
