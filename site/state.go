// Package site holds the state of a site that the control hosts replicate
// (package sitecontrol): its configuration, the upstreams that announced
// themselves, and the primary of each group. It also builds the view of that
// state that a proxy works with. It uses neither the network nor the platform.
package site

import (
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	pb "lovageslip/gen/lovageslip/v1"
)

// State is the state machine of the control hosts' log. It implements
// consensus.StateMachine and is safe for concurrent use.
type State struct {
	// mu guards the fields below.
	mu      sync.Mutex
	current *pb.SiteState // immutable; each change replaces it
	index   uint64
	changed chan struct{}
}

// NewState returns an empty state.
func NewState() *State {
	return &State{current: &pb.SiteState{}, changed: make(chan struct{})}
}

// Current returns the state, which the caller must not modify, the log index of
// its last change, and a channel that is closed when the state changes.
func (s *State) Current() (state *pb.SiteState, index uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.index, s.changed
}

// Apply implements consensus.StateMachine. A command that cannot be decoded
// changes nothing.
func (s *State) Apply(index uint64, command []byte) []byte {
	var c pb.SiteCommand
	result := &pb.SiteCommandResult{Index: index}
	if err := proto.Unmarshal(command, &c); err == nil {
		result.Changed = s.apply(index, &c)
	}
	encoded, err := proto.Marshal(result)
	if err != nil {
		return nil
	}
	return encoded
}

func (s *State) apply(index uint64, c *pb.SiteCommand) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := &pb.SiteState{
		Config:    s.current.Config,
		Document:  s.current.Document,
		Upstreams: slices.Clone(s.current.Upstreams),
		Groups:    slices.Clone(s.current.Groups),
		Proxies:   s.current.Proxies,
		Removed:   s.current.Removed,
		Ended:     s.current.Ended,
	}
	if !applyCommand(next, index, c) {
		return false
	}
	s.replaceLocked(next, index)
	return true
}

func (s *State) replaceLocked(next *pb.SiteState, index uint64) {
	s.current, s.index = next, index
	close(s.changed)
	s.changed = make(chan struct{})
}

func applyCommand(state *pb.SiteState, index uint64, c *pb.SiteCommand) bool {
	switch c := c.Command.(type) {
	case *pb.SiteCommand_StoreConfig:
		return storeConfig(state, c.StoreConfig)
	case *pb.SiteCommand_RecordUpstream:
		return recordUpstream(state, c.RecordUpstream)
	case *pb.SiteCommand_RemoveUpstream:
		return removeUpstream(state, c.RemoveUpstream)
	case *pb.SiteCommand_OrderPrimary:
		return orderPrimary(state, index, c.OrderPrimary)
	case *pb.SiteCommand_RecordPrimary:
		return recordPrimary(state, c.RecordPrimary)
	case *pb.SiteCommand_RecordProxies:
		changed := state.Proxies != c.RecordProxies.Proxies
		state.Proxies = c.RecordProxies.Proxies
		return changed
	case *pb.SiteCommand_ForgetEnded:
		return forgetEnded(state, c.ForgetEnded)
	default:
		return false
	}
}

// storeConfig keeps the configuration with the highest version.
func storeConfig(state *pb.SiteState, c *pb.StoreConfig) bool {
	if c.GetConfig() == nil || (state.Config != nil && c.Config.Version <= state.Config.Version) {
		return false
	}
	before := state.Config
	state.Config, state.Document = c.Config, c.Document
	settleAddresses(state, before)
	dropUnneededEnded(state)
	return true
}

// Supersedes reports whether the announcement u is newer than the record of the
// same upstream. The process that started later is newer; announcements of one
// process are ordered by their sequence number.
func Supersedes(u, record *pb.SiteUpstream) bool {
	if u.BornMs != record.BornMs {
		return u.BornMs > record.BornMs
	}
	return u.Sequence > record.Sequence
}

// Replaces reports whether the announcement u takes the place of a record of the same
// upstream. One of a group that the configuration names always replaces one of a group
// that it doesn't, and never the other way round: another writer may have sent the latter.
func Replaces(config *pb.SiteConfig, u, record *pb.SiteUpstream) bool {
	if u.Group != record.Group {
		if named := namesGroup(config, u.Group); named != namesGroup(config, record.Group) {
			return named
		}
	}
	return Supersedes(u, record)
}

func namesGroup(config *pb.SiteConfig, group string) bool {
	return slices.ContainsFunc(config.GetGroups(), func(g *pb.SiteGroup) bool { return g.Name == group })
}

func groupNames(config *pb.SiteConfig) map[string]bool {
	names := make(map[string]bool, len(config.GetGroups()))
	for _, g := range config.GetGroups() {
		names[g.Name] = true
	}
	return names
}

// maxUnnamed bounds the records of groups that the configuration doesn't name. It is three
// times the upstreams of a site at the size of docs/CAPACITY.md, which all announce
// themselves before the first configuration.
const maxUnnamed = 8192

func recordUpstream(state *pb.SiteState, u *pb.SiteUpstream) bool {
	if CheckUpstream(u) != nil || wasRemoved(state, u) {
		return false
	}
	sameID := func(r *pb.SiteUpstream) bool { return r.Id == u.Id }
	i := slices.IndexFunc(state.Upstreams, sameID)
	if i >= 0 && !Replaces(state.Config, u, state.Upstreams[i]) {
		return false
	}
	count := len(state.Upstreams)
	if !evictAddress(state, u, true) {
		return false
	}
	if i >= 0 && len(state.Upstreams) < count {
		i = slices.IndexFunc(state.Upstreams, sameID)
	}
	settleEnded(state, u)
	if i >= 0 {
		state.Upstreams[i] = u
		return true
	}
	state.Upstreams = append(state.Upstreams, u)
	if !namesGroup(state.Config, u.Group) {
		dropSurplusUnnamed(state)
	}
	return true
}

// dropSurplusUnnamed drops the oldest records of groups that the configuration doesn't
// name, down to maxUnnamed. A server that runs announces itself again.
func dropSurplusUnnamed(state *pb.SiteState) {
	if len(state.Upstreams) <= maxUnnamed {
		return
	}
	named := groupNames(state.Config)
	surplus := -maxUnnamed
	for _, u := range state.Upstreams {
		if !named[u.Group] {
			surplus++
		}
	}
	state.Upstreams = slices.DeleteFunc(state.Upstreams, func(u *pb.SiteUpstream) bool {
		drop := surplus > 0 && !named[u.Group]
		if drop {
			surplus--
		}
		return drop
	})
}

// evictAddress removes the upstreams whose older processes had the address of u; ties
// says whether those that started in the same millisecond count as older. It reports
// false if a younger process has the address, so that the process that announced u must
// have ended. A record of a group that the configuration doesn't name has no say over
// those of other groups, and they have none over it.
func evictAddress(state *pb.SiteState, u *pb.SiteUpstream, ties bool) bool {
	var evicted []*pb.SiteUpstream
	for _, r := range state.Upstreams {
		if r.Address != u.Address || r.Id == u.Id {
			continue
		}
		if r.Group != u.Group && !(namesGroup(state.Config, u.Group) && namesGroup(state.Config, r.Group)) {
			continue
		}
		if r.BornMs > u.BornMs || r.BornMs == u.BornMs && !ties {
			return false
		}
		evicted = append(evicted, r)
	}
	for _, r := range evicted {
		removeUpstream(state, &pb.RemoveSiteUpstream{Id: r.Id, BornMs: r.BornMs})
	}
	return true
}

// settleAddresses removes all but the youngest process at each address, once the
// configuration names the groups of several. Of processes that started in the same
// millisecond it keeps those whose groups were named before.
func settleAddresses(state *pb.SiteState, before *pb.SiteConfig) {
	named, namedBefore := groupNames(state.Config), groupNames(before)
	holders := make(map[string]int, len(state.Upstreams))
	for _, u := range state.Upstreams {
		holders[u.Address]++
	}
	for _, u := range slices.Clone(state.Upstreams) {
		if holders[u.Address] == 1 || !named[u.Group] || namedBefore[u.Group] || Upstream(state, u.Id) != u {
			continue
		}
		if !evictAddress(state, u, false) {
			removeUpstream(state, &pb.RemoveSiteUpstream{Id: u.Id, BornMs: u.BornMs})
		}
	}
}

// removeUpstream removes a process of an upstream and those before it. The process may
// have no record, if its announcement comes later in the log than its removal.
func removeUpstream(state *pb.SiteState, c *pb.RemoveSiteUpstream) bool {
	record := Upstream(state, c.Id)
	switch {
	case record != nil && record.BornMs > c.BornMs:
		return false // a later process
	case record == nil && c.BornMs == 0:
		return false // wasRemoved could not recognize the process
	case record == nil && wasRemoved(state, &pb.SiteUpstream{Id: c.Id, BornMs: c.BornMs}):
		return false
	}
	if record != nil {
		addEnded(state, record)
	}
	state.Upstreams = slices.DeleteFunc(state.Upstreams, func(r *pb.SiteUpstream) bool { return r.Id == c.Id })
	// Earlier states share the slice, so it is copied.
	latest := state.Removed[max(0, len(state.Removed)+1-maxRemoved):]
	state.Removed = append(slices.Clone(latest), &pb.RemovedUpstream{Id: c.Id, BornMs: c.BornMs})
	return true
}

// maxRemoved bounds the removed processes that the state holds. At the size of
// docs/CAPACITY.md that is more than a day's restarts, while an announcement is
// delayed for minutes at most.
const maxRemoved = 1024

// wasRemoved reports whether u is a delayed announcement of a process that was
// removed, or of an earlier one of the same upstream. A process without a start
// time cannot be told from its successors.
func wasRemoved(state *pb.SiteState, u *pb.SiteUpstream) bool {
	return u.BornMs != 0 && slices.ContainsFunc(state.Removed, func(r *pb.RemovedUpstream) bool {
		return r.Id == u.Id && r.BornMs >= u.BornMs
	})
}

// editGroup applies edit to a copy of a group's record, or to a new record if the
// group has none, and stores the result. Earlier states keep the old record.
func editGroup(state *pb.SiteState, group string, edit func(*pb.SiteGroupState)) {
	i := slices.IndexFunc(state.Groups, func(g *pb.SiteGroupState) bool { return g.Group == group })
	if i < 0 {
		i = len(state.Groups)
		state.Groups = append(state.Groups, &pb.SiteGroupState{Group: group})
	}
	copied := proto.Clone(state.Groups[i]).(*pb.SiteGroupState)
	edit(copied)
	state.Groups[i] = copied
}

// orderPrimary records a promotion order, which the leader logs before it sends
// the order to the platform. The log index is the order's token, so that tokens
// rise across leaders. An order is refused if it was made without knowledge of
// the one before it.
func orderPrimary(state *pb.SiteState, index uint64, c *pb.OrderPrimary) bool {
	if Group(state, c.Group).GetOrder() != c.PreviousOrder {
		return false
	}
	editGroup(state, c.Group, func(g *pb.SiteGroupState) {
		g.Order, g.Ordered, g.OrderOpen, g.OrderHolder = index, c.Upstream, true, c.Holder
	})
	return true
}

func recordPrimary(state *pb.SiteState, c *pb.RecordPrimary) bool {
	g := Group(state, c.Group)
	if g.GetPrimary() == c.Upstream && !(g.GetOrderOpen() && g.GetOrdered() == c.Upstream) {
		return false
	}
	editGroup(state, c.Group, func(g *pb.SiteGroupState) {
		g.Primary = c.Upstream
		if g.Ordered == c.Upstream {
			g.OrderOpen = false
		}
	})
	return true
}

// Group returns the record of a group, or nil if there is none.
func Group(state *pb.SiteState, group string) *pb.SiteGroupState {
	for _, g := range state.Groups {
		if g.Group == group {
			return g
		}
	}
	return nil
}

// Upstream returns the record of an upstream, or nil if there is none.
func Upstream(state *pb.SiteState, id string) *pb.SiteUpstream {
	return findUpstream(state.Upstreams, id)
}

func findUpstream(upstreams []*pb.SiteUpstream, id string) *pb.SiteUpstream {
	for _, u := range upstreams {
		if u.Id == id {
			return u
		}
	}
	return nil
}

// Snapshot implements consensus.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	state, index := s.current, s.index
	s.mu.Unlock()
	return proto.Marshal(&pb.SiteSnapshot{State: state, Index: index})
}

// Restore implements consensus.StateMachine. Records that CheckUpstream refuses are left
// out: an earlier version may have stored them.
func (s *State) Restore(data []byte) error {
	var snapshot pb.SiteSnapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return &BadSnapshot{Err: err}
	}
	state := snapshot.State
	if state == nil {
		state = &pb.SiteState{}
	}
	state.Upstreams = UsableUpstreams(state.Upstreams)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaceLocked(state, snapshot.Index)
	return nil
}

// BadSnapshot reports a snapshot that cannot be decoded.
type BadSnapshot struct{ Err error }

func (e *BadSnapshot) Error() string { return "site: snapshot cannot be decoded: " + e.Err.Error() }

func (e *BadSnapshot) Unwrap() error { return e.Err }
