package control

// Act runs one round of what the leader does. Run must be idle meanwhile.
func (s *Server) Act() { s.currentLeadership().act() }
