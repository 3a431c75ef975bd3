package site

import (
	"crypto/sha256"

	pb "lovageslip/gen/lovageslip/v1"
)

// KeyDigestBytes is the length of the digest of a key. 128 bits of SHA-256 cannot be
// guessed, and two keys with one digest don't occur.
const KeyDigestBytes = 16

// Digest is the digest of a key. Control hosts and proxies keep it in place of the
// key.
type Digest = [KeyDigestBytes]byte

// KeyDigest returns the digest of a key.
func KeyDigest(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(sum[:KeyDigestBytes])
}

// Team is a customer of the site in a view. It is immutable. Two views hold
// different values for one team; its name identifies it.
type Team struct {
	Name string
	// Limited is false if the team's operations are not limited. The other two
	// fields are then 0.
	Limited bool
	// RatePerSecond is the limit of the team's operations over all proxies in
	// the long run, and Burst how many may come at once beyond that.
	RatePerSecond, Burst float64
}

// noKey is the digest of an absent key, which identifies no team.
var noKey = KeyDigest("")

// teamsByKey returns the teams of a configuration by the digests of their keys.
func teamsByKey(teams []*pb.SiteTeam) map[Digest]*Team {
	byKey := make(map[Digest]*Team)
	for _, t := range teams {
		team := newTeam(t)
		for _, digest := range t.KeyDigests {
			// CheckConfig refuses digests of another length.
			if len(digest) == KeyDigestBytes {
				byKey[Digest(digest)] = team
			}
		}
	}
	delete(byKey, noKey)
	return byKey
}

func newTeam(t *pb.SiteTeam) *Team {
	if t.RatePerSecond == nil {
		return &Team{Name: t.Name}
	}
	return &Team{Name: t.Name, Limited: true, RatePerSecond: t.GetRatePerSecond(), Burst: t.GetBurst()}
}
