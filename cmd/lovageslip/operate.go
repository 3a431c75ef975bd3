package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"lovageslip/admin"
	"lovageslip/class"
	"lovageslip/daemon"
	"lovageslip/settings"
	"lovageslip/tlsconf"
)

type checkCommand struct {
	File string `arg:"" help:"Settings file of a proxy or control host." type:"existingfile"`
}

func (c *checkCommand) Run() error {
	kind, err := daemon.Check(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: valid %s settings\n", c.File, kind)
	return nil
}

type controlFlags struct {
	Control     []string `help:"Control hosts, IP:port." default:"127.0.0.1:7001" env:"LOVAGESLIP_CONTROL"`
	Certificate string   `help:"Certificate of the operator, PEM." type:"existingfile"`
	Key         string   `help:"Key of the certificate, PEM." type:"existingfile"`
	Authority   string   `help:"Authority of the hosts' certificates, PEM." type:"existingfile"`
	JSON        bool     `help:"Print JSON." name:"json"`
}

func (f *controlFlags) client() (*admin.Client, error) {
	config, err := tlsconf.Client(settings.TLS{Certificate: f.Certificate, Key: f.Key, Authority: f.Authority})
	if err != nil {
		return nil, err
	}
	return admin.New(tlsconf.HTTPClient(config), f.Control), nil
}

func printJSON(m proto.Message) error {
	out, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Println(string(out))
	return err
}

type classCommand struct {
	Set    classSetCommand    `cmd:"" help:"Create a class or change its targets."`
	Remove classRemoveCommand `cmd:"" help:"Remove a class."`
	List   classListCommand   `cmd:"" help:"List the classes."`
}

type changeFlags struct {
	controlFlags
	Name     string `arg:"" help:"Name of the class."`
	Expect   uint64 `help:"Version that you saw (class list); the current one if not given."`
	ChangeID string `help:"Identifies a change that is resent after a lost answer."`
	DryRun   bool   `help:"Check the change without making it."`
}

func (f *changeFlags) changeClass(ctx context.Context, c class.Class, remove bool) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	version, err := client.ChangeClass(ctx, admin.Change{
		ChangeID: f.ChangeID,
		Expected: f.Expect,
		Class:    c,
		Remove:   remove,
		DryRun:   f.DryRun,
		Operator: operatorName(),
	})
	if err != nil {
		return err
	}
	f.report(version)
	return nil
}

func (f *changeFlags) report(version uint64) {
	switch {
	case f.JSON:
		fmt.Printf("{\"version\": %d, \"dry_run\": %t}\n", version, f.DryRun)
	case f.DryRun:
		fmt.Printf("valid; nothing was changed (version %d)\n", version)
	default:
		fmt.Printf("accepted as version %d\n", version)
	}
}

func operatorName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type classSetCommand struct {
	changeFlags
	Wait time.Duration `required:"" help:"How long callers may wait until their request starts, 1ms to 1h."`
	Age  time.Duration `required:"" help:"How old answers may be, 0s to 24h."`
}

func (c *classSetCommand) Run(ctx context.Context) error {
	return c.changeClass(ctx, class.Class{Name: c.Name, Wait: c.Wait, Age: c.Age}, false)
}

type classRemoveCommand struct {
	changeFlags
}

func (c *classRemoveCommand) Run(ctx context.Context) error {
	return c.changeClass(ctx, class.Class{Name: c.Name}, true)
}

type classListCommand struct {
	controlFlags
}

func (c *classListCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	classes, err := client.ListClasses(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(classes)
	}
	fmt.Printf("version %d\n", classes.GetVersion())
	w := newTable("CLASS", "WAIT", "AGE")
	for _, listed := range classes.GetClasses() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", listed.GetName(), microseconds(listed.GetWaitMicros()), microseconds(listed.GetAgeMicros()))
	}
	return w.Flush()
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func newTable(columns ...string) *tabwriter.Writer {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, column := range columns {
		fmt.Fprintf(w, "%s\t", column)
	}
	fmt.Fprintln(w)
	return w
}

type statusCommand struct {
	controlFlags
}

func (c *statusCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(status)
	}
	fmt.Printf("control: %s answered, leader %s, term %d, version %d\n\n",
		status.GetHost(), status.GetLeader(), status.GetTerm(), status.GetVersion())
	w := newTable("DATABASE", "TERM", "PRIMARY", "MEMBERS")
	for _, g := range status.GetGroups() {
		fmt.Fprintf(w, "%s\t%d\t%s\t%v\n", g.GetDatabase(), g.GetTerm(), g.GetPrimary(), g.GetMembers())
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "UPSTREAM\tDATA CENTRE\tADDRESS\tSLOTS\tCONNECTIONS\tOWNER\tLEAVING")
	for _, u := range status.GetUpstreams() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%t\n", u.GetName(), u.GetDataCentre(), u.GetAddress(),
			u.GetSlots(), u.GetMaxConnections(), u.GetOwner(), u.GetLeaving())
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "HOST\tDATA CENTRE\tADDRESS")
	for _, h := range status.GetHosts() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", h.GetName(), h.GetDataCentre(), h.GetAddress())
	}
	return w.Flush()
}

type historyCommand struct {
	controlFlags
	Limit uint32 `help:"How many changes." default:"50"`
}

func (c *historyCommand) Run(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	history, err := client.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(history)
	}
	w := newTable("VERSION", "ACCEPTED", "OPERATOR", "CHANGE", "CLASS", "WAIT", "AGE")
	for _, change := range history.GetChanges() {
		accepted := time.UnixMicro(change.GetAcceptedUnixMicros()).UTC().Format(time.RFC3339)
		name := change.GetClass().GetName()
		if change.GetRemoved() {
			name += " (removed)"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\n", change.GetVersion(), accepted, change.GetOperator(),
			change.GetChangeId(), name, microseconds(change.GetClass().GetWaitMicros()), microseconds(change.GetClass().GetAgeMicros()))
	}
	return w.Flush()
}
