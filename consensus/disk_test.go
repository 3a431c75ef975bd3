package consensus

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"lovageslip/wal"
)

// faultyFS is a file system whose writes a test can fail and whose syncs it can
// block.
type faultyFS struct {
	wal.OS
	full atomic.Bool // fail all writes as on a full disk
	// failEntryWrites fails only writes that start with an entry, as on a
	// broken disk.
	failEntryWrites atomic.Bool
	syncGate        sync.RWMutex // the test locks it while syncs must wait
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
	const kindOffset = 12 // of the record's kind in a write to the log
	entry := len(data) > kindOffset && data[kindOffset] == kindEntry
	switch {
	case f.fs.full.Load():
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, syscall.ENOSPC
	case entry && f.fs.failEntryWrites.Load():
		return 0, syscall.EIO
	}
	return f.File.WriteAt(data, offset)
}

func (f *faultyFile) Write(data []byte) (int, error) {
	if f.fs.full.Load() {
		n, _ := f.File.Write(data[:len(data)/2])
		return n, syscall.ENOSPC
	}
	return f.File.Write(data)
}

func (f *faultyFile) Sync() error {
	f.fs.syncGate.RLock()
	defer f.fs.syncGate.RUnlock()
	return f.File.Sync()
}

func counterValue(scope tally.TestScope, name string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "consensus."+name {
			return c.Value()
		}
	}
	return 0
}

// Guards against the loss of committed changes when one host loses its disk and
// then another host fails. The wiped host must not vote until it was removed and
// added again, since it may have lost entries that it had acknowledged. After
// that, it and one other host must hold all changes.
func TestWipedHostThenLossOfSecondHost(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	a, b, wiped := c.host("a"), c.host("b"), c.host("c")
	c.awaitLeader().propose(11)
	wiped.restartWiped(11)

	checkWipedHostGivesNoVote(t, c, a, b)

	c.awaitLeader().propose(12)
	a.removeMember("c")
	assert.Check(t, !a.seesVoter("c"))
	a.addMember("c", wiped.address)
	waitFor(t, "the repaired host to be a voter", func() bool { return wiped.seesVoter("c") && a.seesVoter("c") })
	c.awaitLeader().propose(13)

	b.stop()
	a.awaitRead(13)
	wiped.awaitRead(13)
	a.propose(14)
	wiped.awaitRead(14)
}

// Guards against a wiped host that stays empty until the next proposal, so that
// the loss of a second host loses entries. The leader learns of the new data
// folder while its replication to the host has nothing to send.
func TestWipedHostIsFilledWithoutProposal(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	leader.propose(11)
	wiped := c.others(leader)[0]
	waitFor(t, "the leader to have nothing to send to the host", func() bool { return leader.isReplicatedTo(wiped) })
	wiped.restartWiped(11)
}

// restartWiped starts the host again with an empty data folder, and waits until it has
// applied an entry with the given value.
func (h *host) restartWiped(value uint64) {
	h.t.Helper()
	h.stop()
	h.wipe()
	h.start()
	waitFor(h.t, "the wiped host to apply the entries", func() bool {
		applied, _ := h.state.read()
		return applied == value
	})
}

// isReplicatedTo reports whether this host leads and the peer has acknowledged its
// whole log and commit index.
func (h *host) isReplicatedTo(peer *host) bool {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leadership == nil {
		return false
	}
	p := n.leadership.peers[peer.options.Name]
	return p != nil && p.matchIndex == n.log.lastIndex() && p.ackedCommit == n.commitIndex
}

// checkWipedHostGivesNoVote stops b and checks that a can't be elected with the
// vote of c, the wiped host.
func checkWipedHostGivesNoVote(t *testing.T, c *cluster, a, b *host) {
	b.stop()
	a.stop()
	scope := tally.NewTestScope("", nil)
	a.options.Metrics = scope
	a.start()
	waitFor(t, "several campaigns of host a", func() bool { return counterValue(scope, "campaigns_total") >= 4 })
	assert.Equal(t, counterValue(scope, "elections_won_total"), int64(0))
	_, ok := c.host("c").node.Leadership()
	assert.Check(t, !ok)
	b.start()
	c.awaitLeader(a, b)
}

func (h *host) removeMember(name string) {
	h.t.Helper()
	waitFor(h.t, "removal of "+name, func() bool {
		ctx, cancel := shortContext()
		defer cancel()
		return h.node.RemoveMember(ctx, name) == nil
	})
}

func (h *host) addMember(name, address string) {
	h.t.Helper()
	waitFor(h.t, "addition of "+name, func() bool {
		ctx, cancel := shortContext()
		defer cancel()
		return h.node.AddMember(ctx, name, address) == nil
	})
}

// Guards against a wiped host whose responses count towards a quorum as those of
// the member that it was, and against adding it again without removing it first.
func TestWipedHostMustBeRemovedFirst(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.awaitLeader().propose(1)
	wiped := c.others(c.awaitLeader())[0]
	name := wiped.options.Name
	wiped.stop()
	wiped.wipe()
	wiped.start()
	leader := c.awaitLeader(c.others(wiped)...)
	ctx, cancel := shortContext()
	defer cancel()
	var refused *ChangeRefused
	err := leader.node.AddMember(ctx, name, wiped.address)
	assert.Check(t, errors.As(err, &refused), "%v", err)
	waitFor(t, "the leader to notice the other data folder", func() bool {
		n := c.awaitLeader(c.others(wiped)...).node
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.role == roleLeader && !n.countsTowardsQuorumLocked(findMember(n.members, name))
	})
}

// Guards against a host that starts as if it were new after its snapshot file was
// lost, and that could then vote without the entries that the snapshot covered.
func TestMissingSnapshotIsReported(t *testing.T) {
	c := newCluster(t, "a")
	h := c.hosts[0]
	proposeMany(t, h, 1000)
	waitFor(t, "a snapshot", func() bool { return h.node.Status().Snapshot > 0 })
	h.stop()
	files, err := filepath.Glob(filepath.Join(h.options.DataDir, "*.snapshot"))
	assert.NilError(t, err)
	assert.NilError(t, os.Remove(files[0]))
	var unusable *UnusableLog
	err = h.tryStart()
	assert.Check(t, errors.As(err, &unusable), "%v", err)
}

// Guards against a host with a full disk that goes on voting, acknowledging
// entries or leading, and against changes that fail on the other hosts as well.
func TestFullDiskStopsOnlyThatHost(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	victim := c.awaitLeader()
	fs := &faultyFS{}
	victim.stop()
	victim.options.FS = fs
	victim.start()
	victim.awaitRead(0)
	fs.full.Store(true)
	c.others(victim)[0].propose(21)
	waitFor(t, "the host to notice that its disk is full", func() bool {
		victim.node.mu.Lock()
		defer victim.node.mu.Unlock()
		return victim.node.diskFull
	})
	_, ok := victim.node.Leadership()
	assert.Check(t, !ok)
	victim.node.mu.Lock()
	assert.Check(t, !victim.node.canVoteLocked())
	assert.Check(t, victim.node.durableIndex < c.others(victim)[0].node.Status().Durable)
	victim.node.mu.Unlock()
	assert.NilError(t, victim.node.Err())
	c.others(victim)[1].propose(22)

	fs.full.Store(false)
	victim.awaitRead(22)
	victim.propose(23)
	victim.stop()
	victim.start()
	victim.awaitRead(23)
}

// Guards against a leader that goes on leading while its own disk takes no entries,
// so that the next failure of another host stops the cluster.
func TestLeaderWithFullDiskStepsDown(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	disks := c.useFaultyDisks()
	leader := c.awaitLeader()
	disks[slices.Index(c.hosts, leader)].full.Store(true)
	c.others(leader)[0].propose(21)
	waitFor(t, "another host to lead", func() bool {
		for _, h := range c.others(leader) {
			if _, ok := h.node.Leadership(); ok {
				return true
			}
		}
		return false
	})
	c.others(leader)[1].propose(22)
	assert.NilError(t, leader.node.Err())
}

// Guards against a cluster that can't be used any more after all disks were full at
// the same time, and against the loss of what was acknowledged before that.
func TestAllDisksFullAndEmptiedAgain(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	disks := c.useFaultyDisks()
	c.awaitLeader().propose(31)
	for _, fs := range disks {
		fs.full.Store(true)
	}
	ctx, cancel := shortContext()
	defer cancel()
	_, err := c.hosts[0].node.Propose(ctx, encodeNumber(32))
	assert.Check(t, err != nil)
	for _, fs := range disks {
		fs.full.Store(false)
	}
	for i, h := range c.hosts {
		h.propose(uint64(40 + i))
		assert.NilError(t, h.node.Err())
	}
}

// Guards against a host that ends or loses its state when the disk is full while it
// stores a snapshot that the leader sent.
func TestSnapshotToFullDisk(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	leader := c.awaitLeader()
	behind := c.others(leader)[0]
	behind.stop()
	behind.wipe()
	proposeMany(t, leader, 1600)
	fs, scope := &faultyFS{}, tally.NewTestScope("", nil)
	behind.options.FS, behind.options.Metrics = fs, scope
	behind.start()
	fs.full.Store(true)
	waitFor(t, "the snapshot to be refused", func() bool { return counterValue(scope, "snapshots_failed_total") > 0 })
	assert.NilError(t, behind.node.Err())
	c.awaitLeader().propose(51)
	fs.full.Store(false)
	behind.awaitRead(51)
	assert.NilError(t, behind.node.Err())
}

// Guards against two changes of membership in progress at the same time, whose
// majorities need not have a host in common.
func TestMembersChangeOneAtATime(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	disks := c.useFaultyDisks()
	leader := c.awaitLeader()
	d, e := c.newHost("d"), c.newHost("e")
	d.start()
	e.start()
	// After this many entries, d needs a snapshot to catch up.
	proposeMany(t, leader, 1600)
	for _, fs := range disks {
		fs.syncGate.Lock()
	}
	first := make(chan error, 1)
	go func() { first <- leader.node.AddMember(context.Background(), "d", d.address) }()
	waitFor(t, "the first change to be in the log", func() bool { return len(leader.node.Members()) == 4 })
	var refused *ChangeRefused
	ctx, cancel := shortContext()
	defer cancel()
	err := leader.node.AddMember(ctx, "e", e.address)
	assert.Check(t, errors.As(err, &refused), "%v", err)
	for _, fs := range disks {
		fs.syncGate.Unlock()
	}
	assert.NilError(t, <-first)
	waitFor(t, "d to be a voter", func() bool { return d.seesVoter("d") })
	leader.addMember("e", e.address)
	waitFor(t, "e to be a voter", func() bool { return e.seesVoter("e") })
	e.propose(31)
	d.awaitRead(31)
}

// useFaultyDisks restarts each host on a faultyFS, whose syncs the test can block,
// and returns these in the order of c.hosts.
func (c *cluster) useFaultyDisks() []*faultyFS {
	var disks []*faultyFS
	c.awaitLeader().propose(0)
	for _, h := range c.hosts {
		fs := &faultyFS{}
		h.stop()
		h.options.FS = fs
		h.start()
		disks = append(disks, fs)
	}
	return disks
}

// Guards against a leader that goes on leading after its own removal was
// committed, or that stops before that.
func TestLeaderRemovesItself(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	oldLeader := c.awaitLeader()
	oldLeader.propose(1)
	oldLeader.removeMember(oldLeader.options.Name)
	newLeader := c.awaitLeader(c.others(oldLeader)...)
	newLeader.propose(2)
	assert.Equal(t, len(newLeader.node.Members()), 2)
	_, ok := oldLeader.node.Leadership()
	assert.Check(t, !ok)
}

// Guards against a disk and a memory that fill up with large commands, a thousand of
// which may pass between two snapshots otherwise.
func TestLargeEntriesAreCompactedSooner(t *testing.T) {
	c := newCluster(t, "a")
	h := c.hosts[0]
	const commandBytes = 900 << 10
	for range snapshotIntervalBytes/commandBytes + 2 {
		ctx, cancel := shortContext()
		_, err := h.node.Propose(ctx, append(encodeNumber(7), make([]byte, commandBytes)...))
		cancel()
		assert.NilError(t, err)
	}
	waitFor(t, "a snapshot", func() bool { return h.node.Status().Snapshot > 0 })
	h.node.mu.Lock()
	defer h.node.mu.Unlock()
	assert.Check(t, len(h.node.log.entries)*commandBytes < trailingBytes+3*commandBytes, "%d entries in memory", len(h.node.log.entries))
}
