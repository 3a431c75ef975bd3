package sitecontrol

import (
	"context"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/quota"
	"lovageslip/site"
)

// Guards against a team that gets more than its limit because it asks for much at once,
// against a substitute that grants as much as the host it stands in for, against a team
// that gets it from two hosts when the members change, and against a lowered limit that
// only new proxies know.
func TestControlHostGrantsTheLimitOfItsState(t *testing.T) {
	state := site.NewState()
	store := func(version uint64, rate float64) {
		command := &pb.SiteCommand{Command: &pb.SiteCommand_StoreConfig{StoreConfig: &pb.StoreConfig{Config: &pb.SiteConfig{
			Version: version,
			Teams: []*pb.SiteTeam{
				{Name: "limited", RatePerSecond: proto.Float64(rate), Burst: proto.Float64(rate)},
				{Name: "free"},
			},
		}}}}
		encoded, err := proto.Marshal(command)
		assert.NilError(t, err)
		state.Apply(version, encoded)
	}
	store(1, 100)
	// The host was up for longer than a window.
	s := New(Options{State: state, Quota: quota.Options{Window: 5 * time.Second, Over: 0.1, Slack: 20}})
	s.countsSince = now().Add(-time.Minute)
	s.confirmed.begunAt = now()
	grant := func(team string, operations uint32, substitute bool) int {
		request := &pb.AdmitRequest{Team: team, Operations: operations, Substitute: substitute}
		response, err := s.Admit(context.Background(), connect.NewRequest(request))
		assert.NilError(t, err)
		return int(response.Msg.Admitted)
	}
	assert.Equal(t, grant("free", 5000, false), 5000)
	first := grant("limited", 1000, false)
	assert.Assert(t, first >= 100 && first <= 130, "%d of a burst of 100", first)
	assert.Assert(t, grant("limited", 1000, false) <= 5)

	// A change of the members moves teams here that another host has counted.
	moved := New(Options{State: state, Quota: s.options.Quota})
	moved.countsSince = now().Add(-time.Minute)
	moved.confirmed.begunAt = now()
	moved.followMembers([]string{"a", "b"})
	const start = 0.4*0.1*(5*100+100) + 0.3*20 // what new buckets start with
	response, err := moved.Admit(context.Background(), connect.NewRequest(&pb.AdmitRequest{Team: "limited", Operations: 1000}))
	assert.NilError(t, err)
	assert.Assert(t, response.Msg.Admitted <= start+1, "%d admitted", response.Msg.Admitted)

	store(2, 0)
	assert.Equal(t, grant("limited", 1, false), 0)

	_, err = s.Admit(context.Background(), connect.NewRequest(&pb.AdmitRequest{Team: "unknown", Operations: 1}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)

	store(3, 100)
	s = New(Options{State: state, Quota: s.options.Quota})
	assert.Assert(t, float64(grant("limited", 1000, true)) <= substitutePart*float64(first)+1)
}
