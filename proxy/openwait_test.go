package proxy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against the order of arrival at the first view after a loss of power: callers
// who had waited for their session for longer than their target were served before
// others who could still be in time.
func TestFirstOperationCountsTheWaitForTheSession(t *testing.T) {
	const target = time.Second
	requested := time.Unix(100, 0)
	answered := requested.Add(950 * time.Millisecond)
	soon, late := answered.Add(promptStatement/2), answered.Add(2*promptStatement)

	w := openWait{since: requested, answeredAt: answered}
	assert.Equal(t, w.operationStart(soon, KindSet), requested)
	assert.Equal(t, w.operationStart(soon.Add(promptStatement), KindRead), requested, "behind a statement that prepares the session")
	assert.Equal(t, w.operationStart(soon.Add(promptStatement), KindRead), soon.Add(promptStatement), "counts for one operation")

	w = openWait{since: requested, answeredAt: answered}
	assert.Equal(t, w.operationStart(late, KindRead), late, "the caller had opened the session ahead of its work")
	assert.Equal(t, w.operationStart(late, KindRead), late)

	assert.Equal(t, new(openWait).operationStart(soon, KindBegin), soon)

	// Two reads that arrive together at the first view: the one whose caller has just
	// come can be in time, the other cannot.
	w = openWait{since: requested, answeredAt: answered}
	old := urgency{arrivedAt: w.operationStart(soon, KindRead), target: target}
	fresh := urgency{arrivedAt: new(openWait).operationStart(soon, KindRead), target: target}
	assert.Equal(t, mostUrgent([]urgency{old, fresh}, soon), 1)
}

// Guards against a session that forgets what its caller has waited for.
func TestSessionCountsTheWaitOfItsCaller(t *testing.T) {
	s := newFixture(t).open("latest")
	s.WaitedSince(now().Add(-time.Minute))
	do(t, s, &Statement{ID: "1", Kind: KindSet, Name: "lang", Value: "tl"})
	assert.Check(t, since(s.operationStart) >= time.Minute)
}
