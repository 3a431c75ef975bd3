package upstream

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a read on a server that lacks the data of an earlier write: its
// history does not contain the term of the write's position, or ends it earlier.
func TestIncludesOnlyPositionsOfTheHistory(t *testing.T) {
	s := Status{Term: 3, Offset: 20, History: History{{Term: 1, Start: 0}, {Term: 3, Start: 10}}}
	cases := []struct {
		name string
		p    Position
		want bool
	}{
		{"zero position", Position{}, true},
		{"current term, applied", Position{Term: 3, Offset: 20}, true},
		{"current term, not applied", Position{Term: 3, Offset: 21}, false},
		{"old term before the fork", Position{Term: 1, Offset: 10}, true},
		{"old term past the fork", Position{Term: 1, Offset: 11}, false},
		{"term that is not in the history", Position{Term: 2, Offset: 5}, false},
		{"later term", Position{Term: 4, Offset: 5}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, s.Includes(c.p), c.want)
		})
	}
}
