package control

// RunRound runs one round of the leader loop. Run must not start one meanwhile.
func (s *Server) RunRound() { s.currentLeadership().runRound() }
