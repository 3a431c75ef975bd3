package relay

import (
	"sync"
	"time"
)

// batches groups the operations of one team that wait for its counter at the same
// time into one request.
type batches struct {
	// turn is held by the batch that is asked for. There is one at a time.
	turn sync.Mutex

	// mu guards waiting, the batch that is still open.
	mu      sync.Mutex
	waiting *batch
}

// batch is a group of operations. verdict may be read once answered is closed.
type batch struct {
	operations int
	answered   chan struct{}
	verdict    verdict
}

// admit adds an operation to the open batch. The first one of a batch asks for all.
func (b *batches) admit(ask func(operations int) verdict) (ok bool, retryAfter time.Duration) {
	joined, place := b.join()
	if place > 0 {
		<-joined.answered
	} else {
		b.ask(joined, ask)
	}
	return place < joined.verdict.admitted, joined.verdict.retryAfter
}

// join returns the open batch and the place of the operation in it.
func (b *batches) join() (joined *batch, place int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		b.waiting = &batch{answered: make(chan struct{})}
	}
	joined, place = b.waiting, b.waiting.operations
	joined.operations++
	return joined, place
}

func (b *batches) ask(joined *batch, ask func(operations int) verdict) {
	b.turn.Lock()
	defer b.turn.Unlock()
	b.mu.Lock()
	b.waiting = nil
	b.mu.Unlock()
	// After a panic those that wait go on, refused.
	defer close(joined.answered)
	joined.verdict = ask(joined.operations)
}

// batchesOf returns the batches of a team. There is one entry for each team that has
// had a caller here.
func (l *Limits) batchesOf(team string) *batches {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.batches[team]
	if !ok {
		b = &batches{}
		l.batches[team] = b
	}
	return b
}
