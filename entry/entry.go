// Package entry is the request path of a proxy that callers connect to. It keeps
// a session for each caller, chooses an upstream for each request, sends the
// request to the upstream's owner and decides on retries. Retries happen only here,
// not in the layers below. The server for callers, pgcaller, calls it.
package entry

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"lovageslip/class"
	"lovageslip/exchange"
	"lovageslip/fault"
	"lovageslip/logging"
	"lovageslip/metrics"
	"lovageslip/registry"
	"lovageslip/route"
	"lovageslip/session"
	"lovageslip/upstream"
)

// Options configures an Entry. Log, Metrics and Router are optional.
type Options struct {
	Directory registry.Directory
	Gateway   exchange.Gateway
	// Router chooses upstreams; nil means a new one for DataCentre.
	Router *route.Router
	Tokens *session.Signer
	// HostName and DataCentre are those of this host.
	HostName   string
	DataCentre string
	Log        *slog.Logger
	Metrics    tally.Scope
}

// Entry opens the sessions of callers and holds what they share: the router, the
// retry budget and the texts known to write. It is safe for concurrent use.
type Entry struct {
	directory registry.Directory
	gateway   exchange.Gateway
	router    *route.Router
	tokens    *session.Signer
	hostName  string
	log       *slog.Logger
	metrics   tally.Scope
	budget    budget
	writes    knownWrites
}

// New returns an Entry without sessions. Its retry budget starts with minRetries.
func New(options Options) *Entry {
	if options.Router == nil {
		options.Router = route.New(route.Options{
			DataCentre: options.DataCentre,
			Log:        options.Log,
			Metrics:    options.Metrics,
		})
	}
	e := &Entry{
		directory: options.Directory,
		gateway:   options.Gateway,
		router:    options.Router,
		tokens:    options.Tokens,
		hostName:  options.HostName,
		log:       logging.For(options.Log, "entry"),
		metrics:   metrics.OrNoop(options.Metrics),
	}
	e.budget.init(time.Now())
	return e
}

// Directory returns the registry that the entry uses.
func (e *Entry) Directory() registry.Directory { return e.directory }

// HostName returns the name of this host.
func (e *Entry) HostName() string { return e.hostName }

// UnknownDatabase reports a database that no upstream serves. Nothing ran.
type UnknownDatabase struct {
	Database string
}

func (e *UnknownDatabase) Error() string { return "unknown database " + e.Database }

// NoDefaultClass reports that a caller named no class and that none with age 0
// exists to be the default. Nothing ran.
type NoDefaultClass struct{}

func (*NoDefaultClass) Error() string {
	return "no class named and no class with age 0 is defined; set lovageslip.class"
}

// Open starts a session on a database. caller is the name under which the limits
// for each caller count its requests.
// Errors: *fault.NotRun, *UnknownDatabase.
func (e *Entry) Open(database, caller string) (*Session, error) {
	view, err := e.view()
	if err != nil {
		return nil, e.finalError(err, "", 0)
	}
	if _, known := view.Groups[database]; !known {
		return nil, &UnknownDatabase{Database: database}
	}
	return &Session{entry: e, database: database, caller: caller}, nil
}

func (e *Entry) view() (*registry.View, error) {
	view := e.directory.View()
	if view == nil {
		return nil, &fault.NotRun{Reason: fault.ReasonNoUpstream, Detail: "no confirmed control state yet"}
	}
	return view, nil
}

// classOf returns the class with a name; the default class if name is empty.
func classOf(view *registry.View, name string) (class.Class, error) {
	if name == "" {
		return defaultClass(view)
	}
	c, known := view.Classes[name]
	if !known {
		return class.Class{}, &fault.UnknownClass{Class: name}
	}
	return c, nil
}

// defaultClass returns the first class, by name, that has age 0.
func defaultClass(view *registry.View) (class.Class, error) {
	found := false
	var first class.Class
	for _, c := range view.Classes {
		if c.Age != 0 {
			continue
		}
		if !found || c.Name < first.Name {
			first = c
			found = true
		}
	}
	if !found {
		return class.Class{}, &NoDefaultClass{}
	}
	return first, nil
}

// Request is one batch of statements of a caller.
type Request struct {
	Payload  []byte
	Prepared []upstream.Prepared
	// Texts are the statements that the batch executes; empty if it only
	// prepares or describes.
	Texts []string
	// Restart discards the part of an answer that is still buffered for the
	// caller. It returns false if the caller has received a part of it. It may
	// be nil.
	Restart func() bool
}

// Reply is the outcome of a batch that was answered completely.
type Reply struct {
	State upstream.TransactionState
	// Token is the new session token after a commit; empty otherwise.
	Token string
	// DatabaseError is true if the answer contains an error of the database.
	DatabaseError bool
}
