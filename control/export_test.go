package control

import "context"

// Tick runs one round of the leader loop. Run must be idle meanwhile.
func (s *Server) Tick(ctx context.Context) { s.tick(ctx) }
