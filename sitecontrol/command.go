package sitecontrol

import (
	"context"
	"fmt"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/upstream"
)

// maxTermRaises bounds how often a command without an effect is sent again in a higher
// term. The distance to the newest known term doubles each time: 512 terms are more
// changes of primary than a replica could have missed.
const maxTermRaises = 10

// CommandWithoutEffect reports an upstream whose answer to a command shows that it has
// not done what it was told.
type CommandWithoutEffect struct {
	ID, Command string
	// Term is the last term in which the command was sent.
	Term upstream.Term
	// Leads is set if the upstream answered as a primary.
	Leads bool
}

func (e *CommandWithoutEffect) Error() string {
	return fmt.Sprintf("%s in term %d had no effect on upstream %s", e.Command, e.Term, e.ID)
}

// CommandWithheld reports a command that was not sent, because this host no longer led.
type CommandWithheld struct{ ID, Command string }

func (e *CommandWithheld) Error() string {
	return e.Command + " was not sent to upstream " + e.ID + ": this host no longer leads"
}

// termCommand is a command that has an effect only in a term above the newest one.
type termCommand struct {
	name string
	send func(context.Context, *pb.SiteUpstream, upstream.Term) (UpstreamStatus, error)
	// effective reports whether the answer shows the effect of the command in a term.
	effective func(UpstreamStatus, upstream.Term) bool
	// replicasOnly is set if the command has no effect on an upstream that leads.
	replicasOnly bool
}

func (w *groupWatch) stepDownCommand() termCommand {
	return termCommand{name: "step-down", send: w.server.options.Prober.StepDown, effective: func(s UpstreamStatus, _ upstream.Term) bool {
		return s.Role != upstream.RolePrimary
	}}
}

func (w *groupWatch) pauseCommand() termCommand {
	return termCommand{name: "pause", send: w.server.options.Prober.Pause, replicasOnly: true, effective: func(s UpstreamStatus, term upstream.Term) bool {
		return s.Role != upstream.RolePrimary && s.PausedTerm >= term
	}}
}

// command sends a command to an upstream in a term above newest, the newest one that the
// group is known to have led, and raises the term until the answer shows the effect: no
// upstream that answers may know of the last change of primary. It returns the status
// after that. Its errors are those of the Prober, *CommandWithoutEffect and
// *CommandWithheld.
func (w *groupWatch) command(ctx context.Context, u *pb.SiteUpstream, newest upstream.Term, c termCommand) (UpstreamStatus, error) {
	term, step := newest+1, upstream.Term(1)
	var without *CommandWithoutEffect
	for range maxTermRaises {
		if !w.leads() {
			return UpstreamStatus{}, &CommandWithheld{ID: u.Id, Command: c.name}
		}
		status, err := w.sendCommand(ctx, u, term, c)
		if err != nil {
			return UpstreamStatus{}, err
		}
		if c.effective(status, term) {
			return status, nil
		}
		w.server.metrics.Counter("commands_without_effect_total").Inc(1)
		w.server.log.Warn("command had no effect on an upstream", "group", w.group, "upstream", u.Id, "command", c.name, "term", term,
			"upstream_term", status.Term, "position", status.Received, "paused_term", status.PausedTerm, "primary", status.Role == upstream.RolePrimary)
		without = &CommandWithoutEffect{ID: u.Id, Command: c.name, Term: term, Leads: status.Role == upstream.RolePrimary}
		if c.replicasOnly && without.Leads {
			break
		}
		step *= 2
		term = max(newest+step, status.newestTerm()+1)
	}
	return UpstreamStatus{}, without
}

func (w *groupWatch) sendCommand(ctx context.Context, u *pb.SiteUpstream, term upstream.Term, c termCommand) (UpstreamStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.send(ctx, u, term)
}

// newestTerm returns the newest term of which any of the answers tells.
func newestTerm(answers []probeResult) upstream.Term {
	var newest upstream.Term
	for _, p := range answers {
		newest = max(newest, p.status.newestTerm())
	}
	return newest
}
