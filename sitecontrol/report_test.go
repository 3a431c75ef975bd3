package sitecontrol

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// Guards against the replacement of a primary that is cut off from the control
// hosts together with most proxies. The few proxies that still report cannot
// reach it, while it serves the others.
func TestSilentProxiesCountAsServed(t *testing.T) {
	state := site.NewState()
	command, err := proto.Marshal(&pb.SiteCommand{Command: &pb.SiteCommand_RecordProxies{
		RecordProxies: &pb.RecordProxies{Proxies: 18},
	}})
	assert.NilError(t, err)
	state.Apply(1, command)
	s := New(Options{Name: "c1", State: state})
	for _, name := range []string{"a", "b", "c"} {
		s.reports[name] = report{receivedAt: now(), message: &pb.ReportRequest{
			Reporter: name, Proxies: 1, Complaints: []*pb.Complaint{{Upstream: "p", Proxies: 1}},
		}}
	}
	unreachable, proxies := s.countUnreachable("p")
	assert.Equal(t, unreachable, uint32(3))
	assert.Equal(t, proxies, uint32(18))
}

// Guards against a lost primary that is kept because most proxies have no
// requests for it, and so cannot notice its loss.
func TestIdleProxiesDoNotCountForAPrimary(t *testing.T) {
	s := New(Options{Name: "c1", State: site.NewState()})
	s.reports["a"] = report{receivedAt: now(), message: &pb.ReportRequest{
		Reporter: "a", Proxies: 1, Complaints: []*pb.Complaint{{Upstream: "p", Proxies: 1}},
	}}
	for _, name := range []string{"b", "c"} {
		s.reports[name] = report{receivedAt: now(), message: &pb.ReportRequest{
			Reporter: name, Proxies: 1, Untried: []*pb.Complaint{{Upstream: "p", Proxies: 1}},
		}}
	}
	unreachable, proxies := s.countUnreachable("p")
	assert.Equal(t, unreachable, uint32(1))
	assert.Equal(t, proxies, uint32(1))
}

// Guards against a sum of all reports for each group and step: the time of the leader
// grew with the square of the groups, times the proxies.
func TestGroupsShareTheSumOfReports(t *testing.T) {
	const proxies, groups = 60, 323
	s := New(Options{Name: "c1", State: site.NewState()})
	var untried []*pb.Complaint
	for g := range groups {
		untried = append(untried, &pb.Complaint{Upstream: fmt.Sprintf("u%d", g), Proxies: 1})
	}
	for p := range proxies {
		s.storeReport(&pb.ReportRequest{Reporter: fmt.Sprintf("p%d", p), Proxies: 1, Untried: untried})
	}
	s.countUnreachable("u0")
	first := s.counts
	for g := range groups {
		_, served := s.countUnreachable(fmt.Sprintf("u%d", g))
		assert.Equal(t, served, uint32(0), "proxies that have had no request for the upstream count")
	}
	if now().Sub(s.countedAt) < countsLifetime {
		assert.Assert(t, s.counts == first, "the reports were added up again")
	}
	// A proxy that cannot reach an upstream counts at once, in any order of its list.
	s.storeReport(&pb.ReportRequest{Reporter: "p0", Proxies: 1, Complaints: []*pb.Complaint{{Upstream: "u2", Proxies: 1}, {Upstream: "u1", Proxies: 1}}})
	unreachable, _ := s.countUnreachable("u2")
	assert.Equal(t, unreachable, uint32(1))
	s.countedAt = s.countedAt.Add(-countsLifetime)
	unreachable, served := s.countUnreachable("u1")
	assert.Equal(t, unreachable, uint32(1))
	assert.Equal(t, served, uint32(1))
}
