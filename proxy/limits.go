package proxy

import (
	"context"
	"math/rand/v2"
	"time"

	"lovageslip/site"
)

// Limits admits the operations of teams, which have limits over all proxies. Package
// relay implements it. It is safe for concurrent use.
type Limits interface {
	// Admit asks whether one more operation of a team may run. If not, it should
	// be sent again after retryAfter.
	Admit(ctx context.Context, team *site.Team) (ok bool, retryAfter time.Duration)
}

// reasonTeamOverLimit is that of an operation beyond the limit of its team. It did
// not run.
const reasonTeamOverLimit = "team_over_limit"

// admit counts the caller's operation against the limit of its team. It is called
// once for each operation, before anything of it is sent to an upstream. Attempts
// that the proxy makes after that are not counted, and an operation that ends
// without having run is not given back: the caller comes back with it, and a
// return that is lost or delayed would raise the limit elsewhere.
func (s *Session) admit(ctx context.Context) *Refusal {
	limits, team := s.proxy.options.Limits, s.team
	if limits == nil || team == nil || !team.Limited {
		return nil
	}
	ok, retryAfter := limits.Admit(ctx, team)
	if ok {
		s.proxy.metrics.Counter("limited_operations_admitted_total").Inc(1)
		return nil
	}
	return &Refusal{Code: RefusedBusy, Reason: reasonTeamOverLimit, RetryAfter: spread(retryAfter)}
}

// spread returns a random time between d and one and a half times as long, so that
// callers that were refused together don't come back together.
func spread(d time.Duration) time.Duration { return d + rand.N(d/2+1) }
