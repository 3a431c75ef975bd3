package admission

import "container/list"

// bucket holds the waiting work of one kind, ordered by deadline.
type bucket struct {
	kind    kind
	long    bool
	waiting list.List
}
