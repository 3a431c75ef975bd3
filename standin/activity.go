package standin

import (
	"database/sql/driver"
	"strconv"
)

// activityFields are the columns of pg_stat_activity that the stand-in supports.
var activityFields = []field{{"state", oidText}, {"wait_event", oidText}}

// activityQuery recognises the one query of pg_stat_activity that is supported,
// SELECT state, wait_event FROM pg_stat_activity WHERE pid = number, and
// returns its pid.
func activityQuery(st *statement) (pid uint32, ok bool) {
	words := []string{"SELECT", "STATE", ",", "WAIT_EVENT", "FROM", "PG_STAT_ACTIVITY", "WHERE", "PID", "="}
	if len(st.tokens) != len(words)+1 {
		return 0, false
	}
	for i, word := range words {
		if !st.tokens[i].is(word) {
			return 0, false
		}
	}
	n, err := strconv.ParseUint(st.tokens[len(words)].text, 10, 32)
	return uint32(n), err == nil
}

// queryActivity answers a query of pg_stat_activity for one session. The answer
// has no row if the session has ended.
func (s *session) queryActivity(pid uint32, sink *rowSink) (string, *pgError) {
	sink.start(activityFields)
	other := s.server.sessionByPID(pid)
	if other == nil {
		return "SELECT 0", nil
	}
	state := "idle"
	if other.isBusy() {
		state = "active"
	}
	if err := sink.row([]driver.Value{state, nil}); err != nil {
		return "", databaseError(err)
	}
	return "SELECT 1", nil
}

func (s *session) isBusy() bool {
	s.cancelMu.Lock()
	defer s.cancelMu.Unlock()
	return s.busy
}

func (s *Server) sessionByPID(pid uint32) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sessions[pid]
}
