package quota

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// CounterKey is the key of a team in the choice of its counter. Among proxies it takes the
// place of the id of an upstream in the choice of a relay.
func CounterKey(team string) string { return "team " + team }

// RankCounters returns hosts in the order in which they count for a team, by rendezvous
// hashing: all who know the same hosts agree, and the loss of one moves only its teams.
func RankCounters(hosts []string, team string) []string {
	score := func(host string) uint64 { return xxhash.Sum64String(host + " " + CounterKey(team)) }
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
	return ranked
}
