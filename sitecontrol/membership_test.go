package sitecontrol

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a first start in which every one of many seeds becomes a member,
// and against hosts that compute different initial members.
func TestInitialMembersAreFewAndTheSameOnAllHosts(t *testing.T) {
	var seeds []string
	for centre := range 3 {
		for host := range 40 {
			seeds = append(seeds, fmt.Sprintf("10.%d.0.%d:7140", centre, host))
		}
	}
	addresses := initialAddresses(seeds)
	assert.Equal(t, len(addresses), maxMembers)
	for centre := range 3 {
		prefix := fmt.Sprintf("10.%d.", centre)
		assert.Assert(t, slices.ContainsFunc(addresses, func(s string) bool { return s[:len(prefix)] == prefix }), "none in centre %d", centre)
	}
	reversed := slices.Clone(seeds)
	slices.Reverse(reversed)
	assert.DeepEqual(t, initialAddresses(reversed), addresses)
	assert.DeepEqual(t, initialAddresses([]string{"c", "a", "b"}), []string{"a", "b", "c"})
}

// catchUpTime is how long a host that has lost its disk counts as lost after its return:
// catch_up_s of the users' smallest sites.
const catchUpTime = 4 * time.Second

// storeLargeConfigs stores configurations whose entries in the log have some 380 KB each.
func storeLargeConfigs(t *testing.T, h *testHost, count uint64) {
	t.Helper()
	random := make([]byte, 380<<10)
	for version := range count {
		_, err := rand.Read(random)
		assert.NilError(t, err)
		storeConfig(t, h, version+1, base64.StdEncoding.EncodeToString(random))
	}
}

// loseDisks ends hosts at the same time and starts them again with empty data folders.
func loseDisks(t *testing.T, hosts ...*testHost) {
	t.Helper()
	for _, h := range hosts {
		h.stop()
		assert.NilError(t, os.RemoveAll(h.dir))
	}
	for _, h := range hosts {
		h.start(listenAt(t, h.address), nil)
	}
}

// leaderFirst orders hosts so that the first one leads.
func leaderFirst(t *testing.T, hosts []*testHost) {
	t.Helper()
	waitFor(t, "a leader", func() bool {
		for i, h := range hosts {
			if _, leads := h.node.Leadership(); leads {
				hosts[0], hosts[i] = hosts[i], hosts[0]
				return true
			}
		}
		return false
	})
}

// Guards against a quorum that is given away: a voter that has lost its disk is removed
// while the host that comes back in its place is not yet a voter.
func TestVoterIsKeptUntilItsSuccessorVotes(t *testing.T) {
	hosts := startCluster(t, 3, newFakeUpstreams())
	storeConfig(t, hosts[0], 7, "seven")
	leaderFirst(t, hosts)
	loseDisks(t, hosts[2])
	fewest := votersOf(hosts[0])
	waitFor(t, "the empty host to be a voter", func() bool {
		fewest = min(fewest, votersOf(hosts[0]))
		return isVoter(hosts[0], hosts[2])
	})
	assert.Equal(t, fewest, 3)
}

// Guards against a repair that takes as long as the log, waits for time-outs, or goes one
// host after the other, so that the next loss comes before the hosts are voters again.
func TestEmptyHostsVoteWithinHalfOfTheCatchUpTime(t *testing.T) {
	for _, test := range []struct {
		name        string
		hosts, lost int
	}{{"one of three", 3, 1}, {"two of five", 5, 2}} {
		t.Run(test.name, func(t *testing.T) {
			hosts := startCluster(t, test.hosts, newFakeUpstreams())
			storeLargeConfigs(t, hosts[0], 40)
			leaderFirst(t, hosts)
			lost := hosts[len(hosts)-test.lost:]
			loseDisks(t, lost...)
			startedAt := time.Now()
			waitFor(t, "the empty hosts to be voters", func() bool {
				return !slices.ContainsFunc(lost, func(h *testHost) bool { return !isVoter(hosts[0], h) })
			})
			assert.Check(t, time.Since(startedAt) <= catchUpTime/2, "voters after %v", time.Since(startedAt))
			waitFor(t, "the document", func() bool { return readDocument(lost[0]) != "" })
		})
	}
}
