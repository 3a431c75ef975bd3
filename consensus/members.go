package consensus

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"lovageslip/bootclock"
	pb "lovageslip/gen/lovageslip/v1"
)

// membersChangedLocked takes over the latest membership in the log. It is in
// force from the moment it is logged, before it is committed.
func (n *Node) membersChangedLocked() {
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

// membersCommittedLocked follows the commit of a membership entry. A removed
// peer is kept until then, and a removed leader leads until then.
func (n *Node) membersCommittedLocked() {
	if n.role != roleLeader || n.membersIndex > n.commit {
		return
	}
	n.dropPeersLocked()
	if self := findMember(n.members, n.options.Name); self == nil {
		n.followLocked("")
	}
}

func (n *Node) appendMembershipLocked(members *pb.Membership) *waiter {
	e := n.newEntryLocked()
	e.Payload = &pb.Entry_Membership{Membership: members}
	return n.appendWithWaiterLocked(e)
}

// changeAllowedLocked: members change one at a time, and only after the leader
// has committed an entry of its own term.
func (n *Node) changeAllowedLocked(name string) error {
	if err := n.leadingLocked(); err != nil {
		return err
	}
	if n.membersIndex > n.commit {
		return &ChangeRefused{Member: name, Detail: "another change is in progress"}
	}
	return nil
}

// promoteLocked makes one member that has caught up a voter.
func (n *Node) promoteLocked() {
	for _, m := range n.members.Members {
		p := n.lead.peers[m.Name]
		if m.Voter || p == nil || p.match+promoteLag < n.commit || p.match == 0 {
			continue
		}
		if p.incarnation != m.Incarnation || bootclock.Since(p.ackedAt) > leaseDuration {
			continue
		}
		if n.changeAllowedLocked(m.Name) != nil {
			return
		}
		members := proto.Clone(n.members).(*pb.Membership)
		findMember(members, m.Name).Voter = true
		n.logger.Info("member has caught up and becomes a voter", "peer", m.Name)
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

// addLocal adds a member that must be reachable, because the entry holds the
// incarnation of its data folder. It returns once the entry is committed; the
// member becomes a voter when it has caught up.
func (n *Node) addLocal(ctx context.Context, name, address string) error {
	if err := checkMember(name, address); err != nil {
		return err
	}
	incarnation, err := n.probe(ctx, name, address)
	if err != nil {
		return err
	}
	w, err := n.logAddition(&pb.Member{Name: name, Address: address, Incarnation: incarnation})
	if err != nil || w == nil {
		return err
	}
	return n.awaitChange(ctx, w)
}

// probe sends a heartbeat to a host that is not yet a member.
func (n *Node) probe(ctx context.Context, name, address string) (string, error) {
	n.mu.Lock()
	err := n.leadingLocked()
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

// logAddition returns nil if the member is already there.
func (n *Node) logAddition(m *pb.Member) (*waiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.changeAllowedLocked(m.Name); err != nil {
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
	n.logger.Info("adding a member", "peer", m.Name)
	return n.appendMembershipLocked(members), nil
}

// removeLocal removes a member. Removing an absent member succeeds, so that a
// repeated request gets the same answer.
func (n *Node) removeLocal(ctx context.Context, name string) error {
	w, err := n.logRemoval(name)
	if err != nil || w == nil {
		return err
	}
	return n.awaitChange(ctx, w)
}

func (n *Node) logRemoval(name string) (*waiter, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.changeAllowedLocked(name); err != nil {
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
	n.logger.Info("removing a member", "peer", name)
	return n.appendMembershipLocked(members), nil
}

func (n *Node) awaitChange(ctx context.Context, w *waiter) error {
	select {
	case o := <-w.done:
		return o.err
	case <-ctx.Done():
		return unknown("change not committed in time", context.Cause(ctx))
	case <-n.ctx.Done():
		return unknown("this host is stopping", nil)
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

func firstName(members *pb.Membership) string {
	first := ""
	for _, m := range members.GetMembers() {
		if first == "" || m.Name < first {
			first = m.Name
		}
	}
	return first
}
