package site

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

// Fuzzes entries of the log and snapshots: no bytes make the state panic, whatever they
// leave holds only records that name an upstream, and a snapshot of it restores the same.
func FuzzState(f *testing.F) {
	encode := func(m proto.Message) []byte {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		return data
	}
	u := &pb.SiteUpstream{Id: "a", Group: "g", Address: "10.0.0.1:1", BornMs: 1}
	odd := &pb.SiteUpstream{Id: "b c", Group: "g", Address: "10.0.0.1:0", BornMs: -1}
	config := &pb.SiteConfig{Version: 1, Groups: []*pb.SiteGroup{{Name: "g"}}}
	for _, record := range []*pb.SiteUpstream{u, odd} {
		f.Add(encode(recordCommand(record)), encode(&pb.SiteSnapshot{Index: 1, State: &pb.SiteState{Config: config, Upstreams: []*pb.SiteUpstream{record}}}))
	}
	f.Add(encode(&pb.SiteCommand{Command: &pb.SiteCommand_StoreConfig{StoreConfig: &pb.StoreConfig{Config: config}}}), []byte{})
	f.Add(encode(&pb.SiteCommand{Command: &pb.SiteCommand_RemoveUpstream{}}), []byte{0xff})
	f.Fuzz(func(t *testing.T, command, snapshot []byte) {
		s := NewState()
		if s.Restore(snapshot) != nil {
			s = NewState()
		}
		_, index, _ := s.Current()
		assert.Assert(t, s.Apply(index+1, command) != nil)
		state, _, _ := s.Current()
		for _, u := range state.Upstreams {
			assert.NilError(t, CheckUpstream(u))
		}
		data, err := s.Snapshot()
		assert.NilError(t, err)
		restored := NewState()
		assert.NilError(t, restored.Restore(data))
		again, _, _ := restored.Current()
		assert.Assert(t, proto.Equal(state, again))
	})
}
