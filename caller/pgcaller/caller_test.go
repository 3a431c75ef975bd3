package pgcaller_test

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestStatementsReachLocalAndRemoteOwner(t *testing.T) {
	starts := map[string]func(testing.TB, *fakeOwner) *testHost{
		"local":  func(t testing.TB, o *fakeOwner) *testHost { return startLocal(t, o) },
		"remote": startRemote,
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			h := start(t, &fakeOwner{})
			c := h.connect(t, "&lovageslip.class=report")
			var got string
			assert.NilError(t, c.QueryRow(t.Context(), "select $1").Scan(&got))
			assert.Equal(t, got, "select $1")
			_, err := c.Exec(t.Context(), "insert into t values (1)")
			assert.NilError(t, err)
			token := c.PgConn().ParameterStatus("lovageslip.session")
			assert.Assert(t, token != "")
			assert.NilError(t, c.QueryRow(t.Context(), "show lovageslip.session").Scan(&got))
			assert.Equal(t, got, token)
		})
	}
}
