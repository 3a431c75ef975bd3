// Command lovageslip-upstream runs a stand-in database server for tests and
// measurements.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lovageslip/logging"
	"lovageslip/settings"
	"lovageslip/standin"
	"lovageslip/tlsconf"
	"lovageslip/upstream"
)

// leaveTimeout bounds the announcement that the server is shutting down.
const leaveTimeout = 5 * time.Second

type flags struct {
	Name           string        `help:"Name of the server."`
	Database       string        `help:"Database that the server belongs to." default:"db"`
	DataCentre     string        `help:"Data centre of the server."`
	Address        string        `help:"IP number and port to listen on." default:"127.0.0.1:0"`
	Dir            string        `help:"Directory of the database files; temporary if empty."`
	Primary        string        `help:"Address of the primary to follow; empty for a primary."`
	Term           uint64        `help:"First term of the group." default:"1"`
	Lag            time.Duration `help:"Delay before replicated entries are applied."`
	ConnectDelay   time.Duration `help:"Time that a new connection takes." default:"12ms"`
	ServiceTime    time.Duration `help:"Time added to each statement."`
	Slots          int           `help:"Statements executed at a time; 0 for no limit." default:"5"`
	MaxConnections int           `help:"Sessions accepted; 0 for no limit." default:"70"`
	Announce       []string      `help:"Base URLs of proxies or control hosts to announce to."`
	Debug          bool          `help:"Log details."`

	Certificate         string `help:"Certificate, PEM; sessions then need TLS." type:"existingfile"`
	Key                 string `help:"Key of the certificate, PEM." type:"existingfile"`
	PasswordFile        string `help:"File of lines user:password; users then log in by SCRAM-SHA-256." type:"existingfile"`
	AnnounceCertificate string `help:"Client certificate for announcements, PEM." type:"existingfile"`
	AnnounceKey         string `help:"Key of the client certificate, PEM." type:"existingfile"`
	AnnounceAuthority   string `help:"Authority of the hosts' certificates, PEM; announcements then use TLS." type:"existingfile"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Stand-in database server for tests and measurements."))
	level := slog.LevelInfo
	if f.Debug {
		level = slog.LevelDebug
	}
	log := logging.New(os.Stderr, level, logging.FormatText)
	if err := run(f, log); err != nil {
		log.Error("upstream: stopped", "error", err)
		os.Exit(1)
	}
}

func run(f flags, log *slog.Logger) error {
	options, err := serverOptions(f, log)
	if err != nil {
		return err
	}
	server, err := standin.Start(options)
	if err != nil {
		return err
	}
	defer server.Close()
	log.Info("upstream: listening", "address", server.Address())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	<-ctx.Done()
	stop()
	leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return server.AnnounceLeaving(leaveCtx)
}

func serverOptions(f flags, log *slog.Logger) (standin.Options, error) {
	options := standin.Options{
		Log:            log,
		Name:           f.Name,
		Database:       f.Database,
		DataCentre:     f.DataCentre,
		Address:        f.Address,
		Dir:            f.Dir,
		Primary:        f.Primary,
		Term:           upstream.Term(f.Term),
		Lag:            f.Lag,
		ConnectDelay:   f.ConnectDelay,
		ServiceTime:    f.ServiceTime,
		Slots:          f.Slots,
		MaxConnections: f.MaxConnections,
		AnnounceTo:     f.Announce,
	}
	return options, setCredentials(f, &options)
}

// setCredentials reads the certificates, keys and passwords that the flags name
// into options.
func setCredentials(f flags, options *standin.Options) error {
	var err error
	options.TLS, err = tlsconf.Server(settings.TLS{Certificate: f.Certificate, Key: f.Key})
	if err != nil {
		return err
	}
	files := settings.TLS{Certificate: f.AnnounceCertificate, Key: f.AnnounceKey, Authority: f.AnnounceAuthority}
	client, err := tlsconf.Client(files)
	if err != nil {
		return err
	}
	if client != nil {
		options.HTTPClient = tlsconf.HTTPClient(client)
	}
	if f.PasswordFile != "" {
		options.Passwords, err = settings.ReadPasswords(f.PasswordFile)
	}
	return err
}
