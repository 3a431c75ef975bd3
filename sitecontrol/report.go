package sitecontrol

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/internal/pause"
)

const (
	// ReportInterval is how often a proxy or control host repeats a report
	// that has not changed and names no unreachable primary.
	ReportInterval = 2 * time.Second
	// reportLifetime is how long a report counts.
	reportLifetime = 3 * ReportInterval
	// unreachableLifetime is how long the unreachable upstreams of a report
	// count. The report is repeated twice in that time.
	unreachableLifetime = 700 * time.Millisecond
	// UnreachableReportInterval is how often a report with unreachable
	// upstreams is repeated.
	UnreachableReportInterval = 300 * time.Millisecond
	// relayInterval is how often a control host checks whether the sum of its
	// reports is due to be relayed to the leader.
	relayInterval = 100 * time.Millisecond
	reportTimeout = 600 * time.Millisecond
)

// Report implements SiteService. Proxies call it, and so do the other control
// hosts while this host leads.
func (s *Server) Report(ctx context.Context, r *connect.Request[pb.ReportRequest]) (*connect.Response[pb.ReportResponse], error) {
	s.storeReport(r.Msg)
	if r.Msg.Relayed {
		return connect.NewResponse(&pb.ReportResponse{}), nil
	}
	c := s.confirmState(ctx)
	response := &pb.ReportResponse{}
	if !c.begunAt.IsZero() {
		response.Index = c.index
		response.ConfirmedMs = uint32(now().Sub(c.begunAt)/time.Millisecond) + 1
	}
	return connect.NewResponse(response), nil
}

func (s *Server) storeReport(r *pb.ReportRequest) {
	// countFor needs the order, which proxies do not owe.
	slices.SortFunc(r.Complaints, compareUpstreams)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setRelayLocked(r.Reporter, s.reports[r.Reporter].message, r)
	s.reports[r.Reporter] = report{message: r, receivedAt: now()}
}

// beginWatch records a proxy that begins to watch this host, as its first report
// would, unless it has reported already. It returns the number of the watch.
func (s *Server) beginWatch(r *pb.WatchSiteRequest) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWatch++
	s.watches[r.Proxy] = s.lastWatch
	previous := s.reports[r.Proxy].message
	if previous == nil || !proto.Equal(previous.Relay, r.Relay) {
		first := &pb.ReportRequest{Reporter: r.Proxy, Proxies: 1, Relay: r.Relay, DataCentre: r.DataCentre}
		s.setRelayLocked(r.Proxy, previous, first)
		s.reports[r.Proxy] = report{message: first, receivedAt: now()}
	}
	return s.lastWatch
}

// endWatch drops the report of a proxy whose watch has ended, unless it has begun a
// later one. The proxy reports to the host that it watches next, and must not be
// counted twice.
func (s *Server) endWatch(name string, watch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.watches[name] != watch {
		return
	}
	delete(s.watches, name)
	s.setRelayLocked(name, s.reports[name].message, nil)
	delete(s.reports, name)
}

// setRelayLocked updates the relays of a data centre when the report of a proxy is
// replaced by another one, or by nil when it expires.
func (s *Server) setRelayLocked(reporter string, previous, next *pb.ReportRequest) {
	if previous.GetDataCentre() == next.GetDataCentre() && proto.Equal(previous.GetRelay(), next.GetRelay()) {
		return
	}
	if previous.GetRelay() != nil {
		without := slices.Clone(s.relays[previous.DataCentre])
		s.relays[previous.DataCentre] = slices.DeleteFunc(without, func(h *pb.RelayHost) bool { return h.Name == reporter })
	}
	if relay := next.GetRelay(); relay != nil {
		with := append(slices.Clone(s.relays[next.DataCentre]), relay)
		slices.SortFunc(with, func(a, b *pb.RelayHost) int { return cmp.Compare(a.Name, b.Name) })
		s.relays[next.DataCentre] = with
	}
}

// relaysOf returns the relays of a data centre, sorted by name. The caller must not
// modify the slice.
func (s *Server) relaysOf(dataCentre string) []*pb.RelayHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relays[dataCentre]
}

// reportCounts adds up reports: how many proxies have reported, and by id of an upstream
// how many of them cannot reach it or have had no request for it.
type reportCounts struct {
	proxies              uint32
	unreachable, untried map[string]uint32
}

// countReportsLocked adds up the reports that have not expired: those of proxies and,
// if relayed is set, the sums that other control hosts have relayed to a leader.
func (s *Server) countReportsLocked(relayed bool) *reportCounts {
	counts := &reportCounts{unreachable: make(map[string]uint32), untried: make(map[string]uint32)}
	countedAt := now()
	for name, r := range s.reports {
		age := countedAt.Sub(r.receivedAt)
		if age > reportLifetime {
			s.setRelayLocked(name, r.message, nil)
			delete(s.reports, name)
			continue
		}
		if r.message.Relayed && !relayed {
			continue
		}
		counts.proxies += r.message.Proxies
		for _, c := range r.message.Complaints {
			if age <= unreachableLifetime {
				counts.unreachable[c.Upstream] += c.Proxies
			}
		}
		for _, c := range r.message.Untried {
			counts.untried[c.Upstream] += c.Proxies
		}
	}
	return counts
}

// gatherReports returns the sum of countReportsLocked as a report of this host.
func (s *Server) gatherReports(relayed bool) *pb.ReportRequest {
	s.mu.Lock()
	counts := s.countReportsLocked(relayed)
	s.mu.Unlock()
	return &pb.ReportRequest{
		Reporter:   s.options.Name,
		Relayed:    true,
		Proxies:    counts.proxies,
		Complaints: sortedComplaints(counts.unreachable),
		Untried:    sortedComplaints(counts.untried),
	}
}

// sortedComplaints returns the number of proxies for each upstream, sorted by
// upstream, so that equal sums give equal messages.
func sortedComplaints(counts map[string]uint32) []*pb.Complaint {
	var list []*pb.Complaint
	for id, n := range counts {
		list = append(list, &pb.Complaint{Upstream: id, Proxies: n})
	}
	slices.SortFunc(list, compareUpstreams)
	return list
}

// compareUpstreams orders the complaints of a report, which may hold nil entries.
func compareUpstreams(a, b *pb.Complaint) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) }

// countsLifetime is how long the leader's watches over groups use the same sum of all
// reports: half of their interval. A sum for each group and step would take time that
// grows with the square of the groups, times the proxies.
const countsLifetime = groupInterval / 2

// countUnreachable returns how many proxies cannot reach an upstream, and how
// many may be served by it. The latter include proxies that are recorded but do
// not report any more, because they may be cut off together with the upstream.
// They leave out proxies that have had no request for the upstream, as counted within
// countsLifetime.
func (s *Server) countUnreachable(id string) (unreachable, proxies uint32) {
	state, _, _ := s.options.State.Current()
	s.mu.Lock()
	defer s.mu.Unlock()
	countedAt := now()
	if s.counts == nil || countedAt.Sub(s.countedAt) >= countsLifetime {
		s.counts, s.countedAt = s.countReportsLocked(true), countedAt
	}
	for _, r := range s.reports {
		if countedAt.Sub(r.receivedAt) <= unreachableLifetime {
			unreachable += countFor(r.message.Complaints, id)
		}
	}
	proxies = max(s.counts.proxies, state.Proxies)
	return unreachable, proxies - min(s.counts.untried[id], proxies)
}

// countFor returns the number for an upstream in a sorted list, 0 if it is not in it.
func countFor(list []*pb.Complaint, id string) uint32 {
	i, ok := slices.BinarySearchFunc(list, id, func(c *pb.Complaint, id string) int { return cmp.Compare(c.GetUpstream(), id) })
	if !ok {
		return 0
	}
	return list[i].Proxies
}

// runRelay sends the sum of the proxies' reports to the leader, while another
// host leads.
func (s *Server) runRelay(ctx context.Context) {
	var last *pb.ReportRequest
	var sentAt time.Time
	for pause.For(ctx, relayInterval) {
		_, address, ok := s.options.Consensus.Leader()
		if !ok || address == s.options.Address {
			last = nil
			continue
		}
		sum := s.gatherReports(false)
		if proto.Equal(sum, last) && now().Sub(sentAt) < s.relayPause(sum) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := s.clients.ForAddress(address).Report(callCtx, connect.NewRequest(sum))
		cancel()
		if err != nil {
			s.metrics.Counter("report_relays_failed_total").Inc(1)
			last = nil
			continue
		}
		last, sentAt = sum, now()
	}
}

func (s *Server) relayPause(sum *pb.ReportRequest) time.Duration {
	if len(sum.Complaints) > 0 {
		return UnreachableReportInterval
	}
	return ReportInterval
}
