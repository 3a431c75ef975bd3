package sitecontrol

import (
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
