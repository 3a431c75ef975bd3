package proxy

// teamName returns the name of the caller's team; empty on sites without teams and
// on open routes.
func (s *Session) teamName() string { return s.team }
