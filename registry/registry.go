// Package registry holds the shared picture of classes, upstreams, their
// owners and their groups. A View is immutable and safe for concurrent use.
package registry

import (
	"time"

	"lovageslip/class"
	"lovageslip/upstream"
)

// Upstream is a registered database server.
type Upstream struct {
	Name       string
	Database   string
	Address    string // IP number and port
	DataCentre string
	// Slots is how many statements the server executes at a time.
	Slots int
	// MaxConnections is how many connections the server accepts.
	MaxConnections int
	// Leaving is true once the server has announced that it leaves: it
	// gets no new work.
	Leaving bool
	// Owner is the host that holds the lease, empty if none.
	Owner        string
	OwnerEpoch   uint64
	OwnerAddress string
}

// Group is the set of upstreams that replicate one database.
type Group struct {
	Database string
	Term     upstream.Term
	// Primary is the upstream that leads Term, empty during a change.
	Primary string
	// Members are the upstreams that count for a majority.
	Members []string
}

// Majority returns how many members make a majority.
func (g Group) Majority() int { return len(g.Members)/2 + 1 }

// Host is a proxy host.
type Host struct {
	Name       string
	Address    string // IP number and port for other hosts
	DataCentre string
}

// View is one version of the control state.
type View struct {
	// Version rises with every change of the control state.
	Version uint64
	// ConfigVersion is the version of the last change that requests depend
	// on: classes, upstreams that leave, and ownership.
	ConfigVersion uint64
	Classes       map[string]class.Class
	Upstreams     map[string]Upstream
	Groups        map[string]Group
	Hosts         map[string]Host
}

// Directory gives the current view.
type Directory interface {
	// View returns the current view; nil before the first quorum-confirmed
	// state has arrived.
	View() *View
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Lease is a host's right to use an upstream.
type Lease struct {
	Epoch uint64
	Until time.Time // monotonic
}

// Leases tells which leases this host holds.
type Leases interface {
	// Lease returns the lease on an upstream and whether it is in force now.
	Lease(name string) (Lease, bool)
	// ConfigVersion returns the version that the last renewal required.
	ConfigVersion() uint64
	// Current reports whether the view was current at some time within the
	// last lease. It stays true while a host hands its leases over.
	Current() bool
}
