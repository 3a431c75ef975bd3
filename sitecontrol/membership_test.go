package sitecontrol

import (
	"fmt"
	"slices"
	"testing"

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
