// Package registry defines what a proxy knows about the site: a View of classes,
// upstreams with their owners, replication groups and hosts, and the Leases of
// this host. Package member supplies both; the request path reads them. A View
// is immutable and safe for concurrent use.
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
	// Slots is how many statements the server executes concurrently.
	Slots int
	// MaxConnections is how many connections the server accepts.
	MaxConnections int
	// Leaving is true once the server has announced that it is leaving. It
	// then gets no new work.
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
	// Primary is the group's primary in Term, empty during a change.
	Primary string
	// Members are the upstreams that are counted for a majority of the group.
	Members []string
}

// Majority returns how many members form a majority.
func (g Group) Majority() int { return len(g.Members)/2 + 1 }

// Host is a proxy host.
type Host struct {
	Name       string
	Address    string // IP number and port for other hosts
	DataCentre string
}

// View is one version of the control state, as proxies use it.
type View struct {
	// Version increases with every change of the control state.
	Version uint64
	// ConfigVersion is the version of the last change to something that
	// requests depend on: classes, leaving upstreams and ownership.
	ConfigVersion uint64
	Classes       map[string]class.Class
	Upstreams     map[string]Upstream
	Groups        map[string]Group
	Hosts         map[string]Host
}

// Directory provides the current view. The request path looks up upstreams,
// owners and classes in it.
type Directory interface {
	// View returns the current view; nil before the first quorum-confirmed
	// state has arrived.
	View() *View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}

// Lease is a host's right to use an upstream under one owner epoch.
type Lease struct {
	Epoch uint64
	Until time.Time // monotonic
}

// Leases provides the leases that this host holds. Owners check them before
// they use an upstream.
type Leases interface {
	// Lease returns the lease on an upstream and whether it is in force now.
	Lease(name string) (Lease, bool)
	// ConfigVersion returns the highest version that a renewal has required.
	ConfigVersion() uint64
	// ViewCurrent reports whether the view was current at some time within the
	// last lease. It stays true while a host hands its leases over.
	ViewCurrent() bool
}
