package consensus

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// reloadMembersLocked makes the latest membership in the log the one in force. A
// membership is in force as soon as its entry is in the log, before it is
// committed.
func (n *Node) reloadMembersLocked() {
	members, index := n.log.membersAt(n.log.lastIndex())
	if members == nil {
		members = n.initialMembership()
	}
	n.members, n.membersIndex = members, index
	if n.role == roleLeader {
		n.startPeersLocked()
	}
}

func (n *Node) initialMembership() *pb.Membership {
	members := &pb.Membership{}
	for _, m := range n.options.InitialMembers {
		members.Members = append(members.Members, &pb.Member{Name: m.Name, Address: m.Address, Voter: true})
	}
	return members
}

// membersCommittedLocked runs on the leader when a membership entry has been
// committed. Until then, the leader goes on replicating to a removed member and
// goes on leading if it was removed itself, so that the removal gets committed.
func (n *Node) membersCommittedLocked() {
	if n.role != roleLeader || n.membersIndex > n.commitIndex {
		return
	}
	n.dropPeersLocked()
	if self := findMember(n.members, n.options.Name); self == nil {
		n.becomeFollowerLocked("")
	}
}

func (n *Node) appendMembershipLocked(members *pb.Membership) *waiter {
	e := n.newEntryLocked()
	e.Payload = &pb.Entry_Membership{Membership: members}
	return n.appendWithWaiterLocked(e)
}

// checkChangeLocked returns nil if the membership may change now: changes happen
// one at a time, and only after the leader has committed an entry of its own
// term.
func (n *Node) checkChangeLocked(name string) error {
	if err := n.checkLeadingLocked(); err != nil {
		return err
	}
	if n.membersIndex > n.commitIndex {
		return &ChangeRefused{Member: name, Detail: "another change is in progress"}
	}
	return nil
}

// promoteLocked makes one member a voter that has caught up to within
// promoteMaxLag entries and has answered within leaseDuration.
func (n *Node) promoteLocked() {
	for _, m := range n.members.Members {
		p := n.leadership.peers[m.Name]
		if m.Voter || p == nil || p.matchIndex+promoteMaxLag < n.commitIndex || p.matchIndex == 0 {
			continue
		}
		if p.incarnation != m.Incarnation || bootclock.Since(p.ackedSendTime) > leaseDuration {
			continue
		}
		if n.checkChangeLocked(m.Name) != nil {
			return
		}
		members := proto.Clone(n.members).(*pb.Membership)
		findMember(members, m.Name).Voter = true
		n.logger.Info("leader makes a member that has caught up a voter", "peer", m.Name)
		n.appendMembershipLocked(members)
		return
	}
}

// Members returns the membership in force on this host.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membersLocked()
}

func (n *Node) membersLocked() []Member {
	var members []Member
	for _, m := range n.members.Members {
		members = append(members, Member{Name: m.Name, Address: m.Address, Voter: m.Voter, Incarnation: m.Incarnation})
	}
	return members
}

// addLocal adds a member if this host leads. The new member must be reachable,
// because the membership entry records the incarnation of its data folder. The
// call returns once the entry is committed and applied; the member becomes a
// voter when it has caught up.
func (n *Node) addLocal(ctx context.Context, name, address string) error {
	if err := checkMember(name, address); err != nil {
		return err
	}
	incarnation, err := n.probeIncarnation(ctx, name, address)
	if err != nil {
		return err
	}
	w, err := n.appendAddition(&pb.Member{Name: name, Address: address, Incarnation: incarnation})
	if err != nil || w == nil {
		return err
	}
	return n.awaitChange(ctx, w)
}

// probeIncarnation returns the incarnation of a host that is not yet a member. It
// sends a heartbeat, since the response to one holds the incarnation.
func (n *Node) probeIncarnation(ctx context.Context, name, address string) (string, error) {
	n.mu.Lock()
	err := n.checkLeadingLocked()
	client := n.clientLocked(address)
	request := &pb.AppendEntriesRequest{Term: n.term, Leader: n.options.Name}
	n.mu.Unlock()
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := client.AppendEntries(ctx, connect.NewRequest(request))
	if err != nil {
		return "", &ChangeRefused{Member: name, Detail: "not reachable at " + address + ": " + err.Error()}
	}
	return response.Msg.Incarnation, nil
}

// appendAddition appends a membership with one more member. It returns a nil
// waiter if the member is already there.
func (n *Node) appendAddition(m *pb.Member) (*waiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkChangeLocked(m.Name); err != nil {
		return nil, err
	}
	for _, other := range n.members.Members {
		if other.Name == m.Name && other.Incarnation == m.Incarnation && other.Address == m.Address {
			return nil, nil
		}
		if other.Name == m.Name {
			return nil, &ChangeRefused{Member: m.Name, Detail: "a member with this name exists with another address or data folder; remove it first"}
		}
		if other.Incarnation == m.Incarnation {
			return nil, &ChangeRefused{Member: m.Name, Detail: "the host at " + m.Address + " is member " + other.Name}
		}
	}
	members := proto.Clone(n.members).(*pb.Membership)
	members.Members = append(members.Members, m)
	n.logger.Info("leader adds a member", "peer", m.Name)
	return n.appendMembershipLocked(members), nil
}

// removeLocal removes a member if this host leads. Removing an absent member
// succeeds, which makes the call idempotent.
func (n *Node) removeLocal(ctx context.Context, name string) error {
	w, err := n.appendRemoval(name)
	if err != nil || w == nil {
		return err
	}
	return n.awaitChange(ctx, w)
}

// appendRemoval appends a membership without one member. It returns a nil waiter
// if there is no such member.
func (n *Node) appendRemoval(name string) (*waiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkChangeLocked(name); err != nil {
		return nil, err
	}
	m := findMember(n.members, name)
	if m == nil {
		return nil, nil
	}
	if m.Voter && len(voters(n.members)) == 1 {
		return nil, &ChangeRefused{Member: name, Detail: "it is the only voter"}
	}
	members := &pb.Membership{}
	for _, other := range n.members.Members {
		if other.Name != name {
			members.Members = append(members.Members, other)
		}
	}
	n.logger.Info("leader removes a member", "peer", name)
	return n.appendMembershipLocked(members), nil
}

func (n *Node) awaitChange(ctx context.Context, w *waiter) error {
	select {
	case o := <-w.done:
		return o.err
	case <-ctx.Done():
		return outcomeUnknown("change not committed in time", context.Cause(ctx))
	case <-n.ctx.Done():
		return outcomeUnknown("this host is stopping", nil)
	}
}

func findMember(members *pb.Membership, name string) *pb.Member {
	for _, m := range members.GetMembers() {
		if m.Name == name {
			return m
		}
	}
	return nil
}

func voters(members *pb.Membership) []*pb.Member {
	var found []*pb.Member
	for _, m := range members.GetMembers() {
		if m.Voter {
			found = append(found, m)
		}
	}
	return found
}

func otherVoters(members *pb.Membership, self string) []*pb.Member {
	var found []*pb.Member
	for _, m := range voters(members) {
		if m.Name != self {
			found = append(found, m)
		}
	}
	return found
}

func lowestName(members *pb.Membership) string {
	first := ""
	for _, m := range members.GetMembers() {
		if first == "" || m.Name < first {
			first = m.Name
		}
	}
	return first
}
