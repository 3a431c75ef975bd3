// Package relay passes commands to upstreams from one proxy to another of the same
// data centre, over one HTTP/2 connection for each pair of proxies that need it.
//
// Upstreams accept a limited number of connections. With hundreds of proxies, each
// would have to open a new connection for nearly every statement, and an upstream
// spends a slot on each. Instead one proxy of each data centre, the relay, keeps a
// few connections to an upstream and runs the commands of the others on them. The
// relay of an upstream is chosen by rendezvous hashing among the proxies that the
// control hosts list, so that all choose the same one without talking to each
// other, the upstreams are spread over the proxies, and the loss of a proxy moves
// only its own upstreams. If proxies hold different lists for a while, an upstream
// has more than one relay in a data centre, which costs connections only.
//
// Client is the side of the proxy that serves the caller, Server that of the relay.
// A command that was sent to a relay has the outcome that the relay reports. If the
// relay is lost meanwhile, whether the command ran is unknown, as when an upstream
// is lost.
package relay

import (
	"time"

	"lovageslip/exchange"
	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/proxy"
)

const (
	// linkTimeout is added to the time that commands may take at a relay and its
	// upstream. It covers the link and a relay that is short of processor time.
	linkTimeout = 250 * time.Millisecond
	// dialTimeout bounds the time to connect to a relay, which is in the same
	// data centre.
	dialTimeout = 300 * time.Millisecond
	// avoidMin and avoidMax bound how long a relay that failed is not used. The
	// time doubles with each failure until the relay has answered.
	avoidMin = time.Second
	avoidMax = 8 * time.Second
)

func targetToWire(u *pb.SiteUpstream) *pb.RelayTarget {
	return &pb.RelayTarget{Upstream: u.Id, Address: u.Address, BornMs: u.BornMs}
}

func commandToWire(c proxy.Command) *pb.RelayCommand {
	w := &pb.RelayCommand{Kind: uint32(c.Kind), Name: c.Name, Value: c.Value, ReadOnly: c.ReadOnly}
	w.MinPosition = exchange.PositionToWire(c.MinPosition)
	if st := c.Statement; st != nil {
		w.Request = st.ID
		w.Execute = st.Kind == proxy.KindExecute
		if w.Execute {
			w.Value = st.Value
		} else {
			w.Text = st.Text
		}
	}
	return w
}

func commandFromWire(w *pb.RelayCommand) proxy.Command {
	c := proxy.Command{Kind: proxy.CommandKind(w.Kind), Name: w.Name, Value: w.Value, ReadOnly: w.ReadOnly}
	c.MinPosition = exchange.PositionFromWire(w.MinPosition)
	if c.Kind == proxy.CommandForward {
		c.Statement = &proxy.Statement{ID: w.Request, Text: w.Text}
		if w.Execute {
			c.Statement.Kind, c.Statement.Value, c.Value = proxy.KindExecute, w.Value, ""
		}
	}
	return c
}

// validCommands reports whether all commands can be passed to an upstream.
func validCommands(commands []*pb.RelayCommand) bool {
	for _, c := range commands {
		if c == nil || c.Kind > uint32(proxy.CommandPrepare) {
			return false
		}
		if proxy.CommandKind(c.Kind) == proxy.CommandForward && (c.Request == "" || c.Text == "" && !c.Execute) {
			return false
		}
	}
	return len(commands) > 0
}

func answerToWire(a proxy.Answer) *pb.RelayAnswer {
	return &pb.RelayAnswer{Body: a.Body, Code: uint32(a.Code), State: uint32(a.State), Position: exchange.PositionToWire(a.Position)}
}

func answerFromWire(w *pb.RelayAnswer) proxy.Answer {
	return proxy.Answer{Body: w.GetBody(), Code: proxy.Code(w.GetCode()), State: proxy.TransactionState(w.GetState()), Position: exchange.PositionFromWire(w.GetPosition())}
}

// milliseconds returns a duration in whole milliseconds for the wire, rounded up
// and limited to the largest value.
func milliseconds(d time.Duration) uint32 {
	const largest = 1<<32 - 1
	rounded := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(rounded, largest))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func turnFromWire(r *pb.RelayRequest) proxy.Turn {
	return proxy.Turn{
		Waited:   duration(r.WaitedMs),
		Target:   duration(r.TargetMs),
		Priority: r.Priority,
		Expected: duration(r.ExpectedMs),
		MaxWait:  duration(r.WaitMs),
		Team:     r.Team,
	}
}

func newRequest(turn proxy.Turn, timeout time.Duration, commands []proxy.Command) *pb.RelayRequest {
	r := &pb.RelayRequest{
		TimeoutMs:  milliseconds(timeout),
		WaitMs:     milliseconds(turn.MaxWait),
		WaitedMs:   milliseconds(turn.Waited),
		TargetMs:   milliseconds(turn.Target),
		Priority:   turn.Priority,
		ExpectedMs: milliseconds(turn.Expected),
		Team:       turn.Team,
	}
	for _, c := range commands {
		r.Commands = append(r.Commands, commandToWire(c))
	}
	return r
}
