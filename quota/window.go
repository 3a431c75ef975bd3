package quota

import "time"

// slots is how many parts a window has. An operation counts for the window and up to
// one part longer, so that the count is never too low.
const slots = 50

// window counts what was admitted in the last window. The zero value must be set up
// by newWindow.
type window struct {
	slot   time.Duration
	counts [slots + 1]float64
	// newest is the number of the newest slot since the epoch of the clock.
	newest int64
}

func newWindow(length time.Duration) window { return window{slot: max(length/slots, 1)} }

func (w *window) advance(now time.Time) {
	number := now.UnixNano() / int64(w.slot)
	if number-w.newest > slots {
		clear(w.counts[:])
		w.newest = number
	}
	for w.newest < number {
		w.newest++
		w.counts[w.newest%(slots+1)] = 0
	}
}

// used returns what counts at the time of the last advance.
func (w *window) used() float64 {
	sum := 0.0
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

func (w *window) add(n float64) { w.counts[w.newest%(slots+1)] += n }

// fill adds n operations whose times are not known. They are spread evenly, but so
// that the room which the oldest give back comes at the rate of a share that settles.
func (w *window) fill(n float64) {
	settling := min(int64(settlingTime/w.slot), slots)
	each := n / (slots + 1)
	held := each * (1 - settlingRate) * float64(settling) / float64(slots+1-settling)
	for age := range int64(slots + 1) {
		i := (w.newest + slots + 1 - age) % (slots + 1)
		if age > slots-settling {
			w.counts[i] += each * settlingRate
			continue
		}
		w.counts[i] += each + held
	}
}

func (w *window) scale(factor float64) {
	for i := range w.counts {
		w.counts[i] *= factor
	}
}
