package consensus

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"lovageslip/wal"
)

// faultyFS fails or blocks syncs and writes on demand.
type faultyFS struct {
	wal.OS
	full atomic.Bool
	// noEntries fails writes that start with an entry.
	noEntries atomic.Bool
	gate      sync.RWMutex // held for writing while syncs must wait
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

func (f *faultyFS) OpenFile(path string, flag int, mode os.FileMode) (wal.File, error) {
	file, err := f.OS.OpenFile(path, flag, mode)
	return &faultyFile{File: file, fs: f}, err
}

func (f *faultyFile) WriteAt(data []byte, offset int64) (int, error) {
	const kindOffset = 12
	entry := len(data) > kindOffset && data[kindOffset] == kindEntry
	if f.fs.full.Load() || entry && f.fs.noEntries.Load() {
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, syscall.ENOSPC
	}
	return f.File.WriteAt(data, offset)
}

func (f *faultyFile) Sync() error {
	f.fs.gate.RLock()
	defer f.fs.gate.RUnlock()
	return f.File.Sync()
}

func counter(scope tally.TestScope, name string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "consensus."+name {
			return c.Value()
		}
	}
	return 0
}

// Guards against a wiped host that votes for entries it has lost, and against
// losing changes when a second host fails just after the first was repaired.
func TestLostDiskThenLossOfASecondHost(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	a, b, wiped := c.host("a"), c.host("b"), c.host("c")
	c.leader().propose(11)
	wiped.stop()
	wiped.wipe()
	wiped.start()
	waitFor(t, "the wiped host to hold the entries", func() bool {
		value, _ := wiped.state.read()
		return value == 11
	})

	wipedHostGivesNoVote(t, c, a, b)

	c.leader().propose(12)
	a.removeMember("c")
	assert.Check(t, !a.voterIs("c"))
	a.addMember("c", wiped.address)
	waitFor(t, "the repaired host to be a voter", func() bool { return wiped.voterIs("c") && a.voterIs("c") })
	c.leader().propose(13)

	b.stop()
	a.readsBack(13)
	wiped.readsBack(13)
	a.propose(14)
	wiped.readsBack(14)
}

// wipedHostGivesNoVote stops b and checks that a can't win with c's vote.
func wipedHostGivesNoVote(t *testing.T, c *cluster, a, b *host) {
	b.stop()
	a.stop()
	scope := tally.NewTestScope("", nil)
	a.options.Metrics = scope
	a.start()
	waitFor(t, "several campaigns", func() bool { return counter(scope, "campaigns_total") >= 4 })
	assert.Equal(t, counter(scope, "elections_won_total"), int64(0))
	_, ok := c.host("c").node.Leadership()
	assert.Check(t, !ok)
	b.start()
	c.leader(a, b)
}

func (h *host) removeMember(name string) {
	h.t.Helper()
	waitFor(h.t, "removal of "+name, func() bool {
		ctx, cancel := shortly()
		defer cancel()
		return h.node.RemoveMember(ctx, name) == nil
	})
}

func (h *host) addMember(name, address string) {
	h.t.Helper()
	waitFor(h.t, "addition of "+name, func() bool {
		ctx, cancel := shortly()
		defer cancel()
		return h.node.AddMember(ctx, name, address) == nil
	})
}

// Guards against a wiped host that is counted under its old name, and against
// adding it again without a removal.
func TestWipedHostMustBeRemovedFirst(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.leader().propose(1)
	wiped := c.others(c.leader())[0]
	name := wiped.options.Name
	wiped.stop()
	wiped.wipe()
	wiped.start()
	leader := c.leader(c.others(wiped)...)
	ctx, cancel := shortly()
	defer cancel()
	var refused *ChangeRefused
	err := leader.node.AddMember(ctx, name, wiped.address)
	assert.Check(t, errors.As(err, &refused), "%v", err)
	waitFor(t, "the leader to notice the other data folder", func() bool {
		n := c.leader(c.others(wiped)...).node
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.role == roleLeader && !n.countsLocked(findMember(n.members, name))
	})
}

// Guards against a host that takes itself for a new voter after its snapshot
// was lost.
func TestMissingSnapshotIsReported(t *testing.T) {
	c := newCluster(t, "a")
	h := c.hosts[0]
	proposeMany(t, h, 1000)
	waitFor(t, "a snapshot", func() bool { return h.node.Status().Snapshot > 0 })
	h.stop()
	files, err := filepath.Glob(filepath.Join(h.options.DataDir, "*.snapshot"))
	assert.NilError(t, err)
	assert.NilError(t, os.Remove(files[0]))
	var bad *BadLog
	err = h.tryStart()
	assert.Check(t, errors.As(err, &bad), "%v", err)
}

// Guards against a host with a full disk that goes on voting, acknowledging or
// leading.
func TestFullDiskStopsTheHostOnly(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	victim := c.leader()
	fs := &faultyFS{}
	victim.stop()
	victim.options.FS = fs
	victim.start()
	victim.readsBack(0)
	fs.full.Store(true)
	c.others(victim)[0].propose(21)
	<-victim.node.Failed()
	assert.Check(t, errors.Is(victim.node.Err(), syscall.ENOSPC), "%v", victim.node.Err())
	_, ok := victim.node.Leadership()
	assert.Check(t, !ok)
	victim.node.mu.Lock()
	assert.Check(t, !victim.node.canVoteLocked())
	victim.node.mu.Unlock()
	fs.full.Store(false)
	victim.stop()
	victim.start()
	victim.readsBack(21)
}

// Guards against two changes of membership at the same time.
func TestMembersChangeOneAtATime(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	gates := c.slowDisks()
	leader := c.leader()
	d, e := c.newHost("d"), c.newHost("e")
	d.start()
	e.start()
	// d catches up from a snapshot.
	proposeMany(t, leader, 1600)
	for _, fs := range gates {
		fs.gate.Lock()
	}
	first := make(chan error, 1)
	go func() { first <- leader.node.AddMember(context.Background(), "d", d.address) }()
	waitFor(t, "the first change to be logged", func() bool { return len(leader.node.Members()) == 4 })
	var refused *ChangeRefused
	ctx, cancel := shortly()
	defer cancel()
	err := leader.node.AddMember(ctx, "e", e.address)
	assert.Check(t, errors.As(err, &refused), "%v", err)
	for _, fs := range gates {
		fs.gate.Unlock()
	}
	assert.NilError(t, <-first)
	waitFor(t, "d to be a voter", func() bool { return d.voterIs("d") })
	leader.addMember("e", e.address)
	waitFor(t, "e to be a voter", func() bool { return e.voterIs("e") })
	e.propose(31)
	d.readsBack(31)
}

// slowDisks restarts all hosts with disks whose syncs can be held back.
func (c *cluster) slowDisks() []*faultyFS {
	var gates []*faultyFS
	c.leader().propose(0)
	for _, h := range c.hosts {
		fs := &faultyFS{}
		h.stop()
		h.options.FS = fs
		h.start()
		gates = append(gates, fs)
	}
	return gates
}

// Guards against a removed leader that goes on leading, or that leaves before
// its own removal is committed.
func TestLeaderRemovesItself(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	old := c.leader()
	old.propose(1)
	old.removeMember(old.options.Name)
	fresh := c.leader(c.others(old)...)
	fresh.propose(2)
	assert.Equal(t, len(fresh.node.Members()), 2)
	_, ok := old.node.Leadership()
	assert.Check(t, !ok)
}
