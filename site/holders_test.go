package site

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "lovageslip/gen/lovageslip/v1"
)

func (l *testLog) storeGroups(version uint64, groups ...string) bool {
	config := &pb.SiteConfig{Version: version}
	for _, g := range groups {
		config.Groups = append(config.Groups, &pb.SiteGroup{Name: g})
	}
	return l.apply(&pb.SiteCommand{Command: &pb.SiteCommand_StoreConfig{StoreConfig: &pb.StoreConfig{Config: config}}})
}

func (l *testLog) recordIn(group, id, address string, born int64, sequence uint64) bool {
	return l.apply(recordCommand(&pb.SiteUpstream{Id: id, Group: group, Address: address, BornMs: born, Sequence: sequence}))
}

// holders returns the upstreams of the configured groups at an address.
func (l *testLog) holders(address string) []string {
	state := l.current()
	var ids []string
	for _, g := range NewView(ViewParts{Config: state.Config, Upstreams: state.Upstreams}).Groups() {
		for _, u := range g.Upstreams {
			if u.Address == address {
				ids = append(ids, u.Id)
			}
		}
	}
	return ids
}

// Guards against a living upstream that is taken out by an entry of another writer, which
// has its address or its id and a group that the configuration doesn't name.
func TestEntryOfAnUnknownGroupTakesNobodyOut(t *testing.T) {
	l := newTestLog(t)
	l.storeGroups(1, "g")
	assert.Assert(t, l.recordIn("g", "living", "10.0.0.1:1", 100, 5))
	l.recordIn("other", "odd", "10.0.0.1:1", 200, 1)
	assert.DeepEqual(t, l.holders("10.0.0.1:1"), []string{"living"})
	l.recordIn("other", "living", "10.0.0.1:1", 300, 1)
	assert.DeepEqual(t, l.holders("10.0.0.1:1"), []string{"living"})
	assert.Assert(t, l.recordIn("g", "living", "10.0.0.1:1", 100, 6), "its next announcement counts")
	l.storeGroups(2, "g", "another")
	assert.DeepEqual(t, l.holders("10.0.0.1:1"), []string{"living"})
}

// Guards against a new process that is not followed because its address has a record: of
// a process that has crashed, or of a group that the configuration doesn't name.
func TestNewProcessAtAnAddressIsFollowedAtOnce(t *testing.T) {
	l := newTestLog(t)
	l.storeGroups(1, "g", "h")
	l.recordIn("other", "odd", "10.0.0.1:1", 900, 1)
	assert.Assert(t, l.recordIn("g", "crashed", "10.0.0.1:1", 100, 5))
	assert.Assert(t, l.recordIn("h", "next", "10.0.0.1:1", 200, 1))
	assert.DeepEqual(t, l.holders("10.0.0.1:1"), []string{"next"})
	assert.Assert(t, !l.recordIn("g", "crashed", "10.0.0.1:1", 100, 6), "a delayed announcement")
}

// Guards against a server that announced itself before the configuration named its group,
// and is not used once it does; and against two records that hold one address then.
func TestGroupThatIsNamedLaterIsServedAtOnce(t *testing.T) {
	l := newTestLog(t)
	l.recordIn("g", "first", "10.0.0.1:1", 100, 1)
	l.recordIn("h", "early", "10.0.0.2:1", 100, 1)
	l.storeGroups(1, "g")
	assert.DeepEqual(t, l.holders("10.0.0.1:1"), []string{"first"})
	l.recordIn("g", "older", "10.0.0.2:1", 50, 1)
	assert.DeepEqual(t, l.holders("10.0.0.2:1"), []string{"older"})
	data, err := l.state.Snapshot()
	assert.NilError(t, err)
	assert.NilError(t, l.state.Restore(data))
	l.storeGroups(2, "g", "h")
	assert.DeepEqual(t, l.holders("10.0.0.2:1"), []string{"early"})
	assert.Assert(t, !l.recordIn("g", "older", "10.0.0.2:1", 50, 2), "the earlier process is gone")

	// The younger process of a group that was named all along stays.
	l.recordIn("k", "late", "10.0.0.3:1", 100, 1)
	l.recordIn("g", "younger", "10.0.0.3:1", 200, 1)
	l.storeGroups(3, "g", "h", "k")
	assert.DeepEqual(t, l.holders("10.0.0.3:1"), []string{"younger"})
}
