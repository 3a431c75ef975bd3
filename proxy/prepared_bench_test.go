package proxy

import (
	"testing"

	pb "lovageslip/gen/lovageslip/v1"
)

// BenchmarkExecute resolves a prepared read and builds its commands for a connection that
// has prepared it.
func BenchmarkExecute(b *testing.B) {
	c := newPool(nil, &pb.SiteUpstream{}, connectionQuota{}).newConn(nil, nil)
	s := &Session{prepared: map[string]preparedStatement{}}
	s.prepare(&Statement{Kind: KindPrepare, Name: "s", ReadOnly: true, Value: "SELECT a, b, c FROM accounts WHERE id = $1 AND region = $2 ORDER BY c"})
	execute := &Statement{ID: "e", Kind: KindExecute, Name: "s", Value: "7"}
	b.ReportAllocs()
	for b.Loop() {
		stmt, refusal := s.resolve(execute)
		if refusal != nil {
			b.Fatal(refusal)
		}
		setUp := s.setUp(c, stmt)
		command := stmt.command(c)
		if len(setUp) > 1 || command.Name == "" {
			b.Fatal(setUp, command)
		}
	}
}
