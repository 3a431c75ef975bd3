package proxy

import (
	"time"

	"lovageslip/fault"
	"lovageslip/site"
)

// Reasons of refusals that follow from who the caller is, or from the age of the view.
const (
	reasonNoDatabase = "no_database"
	reasonUnknownKey = "unknown_key"
	// reasonNoView: the proxy has just started and has no configuration yet.
	reasonNoView = "no_view"
	// reasonViewTooOld: a newer configuration may have withdrawn or added the
	// key, and the proxy could not learn of it.
	reasonViewTooOld  = "view_too_old"
	reasonTeamChanged = "team_changed"
)

// authorize checks the caller's right to run a statement now, which has arrived
// before, and sets the session's team. A transaction stays with the team and the route
// that it began with.
//
// It keeps this promise: if a key's withdrawal was acknowledged at A, no statement runs
// that was sent later than A + Options.MaxKeyAge. For if the view still holds the key,
// the withdrawal came after the view was confirmed, A > confirmedAt. A statement that
// passes the check at t was sent before t < confirmedAt + MaxKeyAge < A + MaxKeyAge.
// Delays after the check don't change when the statement was sent.
func (s *Session) authorize() *Refusal {
	// The confirmation is read before the view. Views only move forward and
	// reach the proxy before their confirmation does, so that the view which is
	// read afterwards was complete at confirmedAt, or is newer than that one.
	confirmedAt := s.proxy.viewConfirmedAt()
	v := s.proxy.View()
	if s.tx != nil && s.tx.route != nil {
		return s.authorizeTransaction(v, confirmedAt)
	}
	team, refusal := s.proxy.identify(v, confirmedAt, s.database, s.key)
	if refusal == nil {
		s.team = team
	}
	return refusal
}

// authorizeTransaction checks the right to go on with a transaction that has a route.
// One that began without a team, on an open route, needs none until its end.
func (s *Session) authorizeTransaction(v *site.View, confirmedAt time.Time) *Refusal {
	switch {
	case s.team == nil:
		return nil
	case !v.HasTeams():
		return teamChanged()
	}
	team, refusal := s.proxy.teamOf(v, confirmedAt, s.key)
	switch {
	case refusal != nil:
		return refusal
	case team.Name != s.team.Name:
		return teamChanged()
	default:
		return nil
	}
}

// identify returns the team of a caller of a database; nil if the caller needs none
// there.
func (p *Proxy) identify(v *site.View, confirmedAt time.Time, database string, key site.Digest) (*site.Team, *Refusal) {
	route, ok := v.Route(database)
	switch {
	case v.ConfigVersion == 0:
		return nil, comeBack(reasonNoView)
	case !ok && p.tooOld(confirmedAt):
		return nil, comeBack(reasonViewTooOld)
	case !ok:
		return nil, &Refusal{Code: RefusedNoDatabase, Reason: reasonNoDatabase}
	case route.Open || !v.HasTeams():
		return nil, nil
	default:
		return p.teamOf(v, confirmedAt, key)
	}
}

// teamOf returns the team that holds a key. A proxy that cannot know whether the key
// is valid by now says so, and not that the key is unknown.
func (p *Proxy) teamOf(v *site.View, confirmedAt time.Time, key site.Digest) (*site.Team, *Refusal) {
	if p.tooOld(confirmedAt) {
		return nil, comeBack(reasonViewTooOld)
	}
	team, ok := v.Team(key)
	if !ok {
		return nil, &Refusal{Code: RefusedUnknownKey, Reason: reasonUnknownKey}
	}
	return team, nil
}

// viewConfirmedAt returns Options.ViewConfirmedAt, or the zero time without it.
func (p *Proxy) viewConfirmedAt() time.Time {
	if p.options.ViewConfirmedAt == nil {
		return time.Time{}
	}
	return p.options.ViewConfirmedAt()
}

// tooOld reports whether a view that was last confirmed at a time is too old to tell
// who a caller is.
func (p *Proxy) tooOld(confirmedAt time.Time) bool {
	return p.options.MaxKeyAge > 0 && since(confirmedAt) >= p.options.MaxKeyAge
}

// HasView reports whether the proxy has received a configuration and, where keys have
// a greatest age, its first confirmation.
func (p *Proxy) HasView() bool {
	confirmed := p.options.MaxKeyAge <= 0 || !p.viewConfirmedAt().IsZero()
	return confirmed && p.View().ConfigVersion != 0
}

// Serves reports whether the proxy can serve new callers: it has a view, and one that
// is young enough if callers need keys.
func (p *Proxy) Serves() bool {
	confirmedAt := p.viewConfirmedAt()
	return p.HasView() && !(p.View().NeedsKeys() && p.tooOld(confirmedAt))
}

// recordViewAge records how old the view is by its last confirmation.
func (p *Proxy) recordViewAge() {
	if confirmedAt := p.viewConfirmedAt(); !confirmedAt.IsZero() {
		p.metrics.Gauge("view_age_seconds").Update(since(confirmedAt).Seconds())
	}
}

// comeBack refuses a caller of whom the proxy cannot know enough yet.
func comeBack(reason string) *Refusal {
	return &Refusal{Code: RefusedBusy, Reason: reason, RetryAfter: jitter(retryAfterMean)}
}

// teamChanged aborts a transaction whose connection was opened in the name of a team
// that the caller no longer belongs to.
func teamChanged() *Refusal {
	return aborted(fault.Reason(reasonTeamChanged)).Refusal
}

// authorizeStatement checks the right to run a statement. Statements that the proxy
// answers itself are refused only to callers without a valid key.
func (s *Session) authorizeStatement(kind Kind) *Refusal {
	switch kind {
	case KindRollback, KindMalformed:
		return nil
	case KindSet, KindPrepare, KindDeallocate:
		if refusal := s.authorize(); refusal != nil && refusal.Code == RefusedUnknownKey {
			return refusal
		}
		return nil
	default:
		return s.authorize()
	}
}

// refuseUnauthorized refuses a statement that authorizeStatement has refused, and rolls
// an open transaction back.
func (s *Session) refuseUnauthorized(kind Kind, refusal *Refusal) Reply {
	if s.tx != nil {
		refusal = inTransaction(refusal)
		s.failTransaction()
	}
	if kind == KindCommit {
		s.endTransaction()
	}
	return Reply{Refusal: refusal}
}

// inTransaction returns the refusal of a statement whose transaction is rolled back
// with it. A caller without a valid key is told so.
func inTransaction(r *Refusal) *Refusal {
	if r.Code == RefusedUnknownKey || r.Code == RefusedNoDatabase {
		return r
	}
	aborted := *r
	aborted.Code = RefusedAborted
	return &aborted
}

// teamName returns the name of the caller's team; empty if the caller needs none.
func (s *Session) teamName() string {
	if s.team == nil {
		return ""
	}
	return s.team.Name
}
