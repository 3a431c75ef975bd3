package consensus

import (
	"context"

	"connectrpc.com/connect"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// forwardedHeader marks a request that a member has forwarded to the leader, so
// that the receiver doesn't forward it again if it doesn't lead.
const forwardedHeader = "Lovageslip-Forwarded"

// AddMember adds a running host as a non-voter through the leader. It becomes a
// voter when it has caught up. A wiped host must be removed first.
// Errors are *ChangeRefused, *fault.Invalid, *fault.NotRun and
// *fault.OutcomeUnknown. The call is idempotent, so it can be repeated after
// *fault.OutcomeUnknown.
func (n *Node) AddMember(ctx context.Context, name, address string) error {
	return n.retryUntilLeader(ctx, func() error { return n.addOnce(ctx, name, address) })
}

func (n *Node) addOnce(ctx context.Context, name, address string) error {
	client, ok := n.memberClient()
	if !ok {
		return n.addLocal(ctx, name, address)
	}
	request := connect.NewRequest(&pb.AddMemberRequest{Name: name, Address: address})
	request.Header().Set(forwardedHeader, n.options.Name)
	_, err := client.AddMember(ctx, request)
	return fromWire(ctx, err, name)
}

// RemoveMember removes a host through the leader. Its errors are those of
// AddMember.
func (n *Node) RemoveMember(ctx context.Context, name string) error {
	return n.retryUntilLeader(ctx, func() error { return n.removeOnce(ctx, name) })
}

func (n *Node) removeOnce(ctx context.Context, name string) error {
	client, ok := n.memberClient()
	if !ok {
		return n.removeLocal(ctx, name)
	}
	request := connect.NewRequest(&pb.RemoveMemberRequest{Name: name})
	request.Header().Set(forwardedHeader, n.options.Name)
	_, err := client.RemoveMember(ctx, request)
	return fromWire(ctx, err, name)
}

// memberClient returns a client for the leader, and false if this host leads or
// knows of no leader.
func (n *Node) memberClient() (lovageslipv1connect.MemberServiceClient, bool) {
	_, address, ok := n.Leader()
	if !ok || address == n.options.Address {
		return nil, false
	}
	url := n.options.Scheme + "://" + address
	return lovageslipv1connect.NewMemberServiceClient(n.httpClient, url), true
}

// memberService implements MemberService, which operators and other members call.
type memberService struct{ n *Node }

// AddMember implements MemberService. It forwards the request to the leader
// unless another member has already done so.
func (s *memberService) AddMember(ctx context.Context, request *connect.Request[pb.AddMemberRequest]) (*connect.Response[pb.MemberResponse], error) {
	add := s.n.AddMember
	if request.Header().Get(forwardedHeader) != "" {
		add = s.n.addLocal
	}
	if err := add(ctx, request.Msg.Name, request.Msg.Address); err != nil {
		return nil, toWire(err)
	}
	return s.memberResponse(), nil
}

// RemoveMember implements MemberService. It forwards the request like AddMember.
func (s *memberService) RemoveMember(ctx context.Context, request *connect.Request[pb.RemoveMemberRequest]) (*connect.Response[pb.MemberResponse], error) {
	remove := s.n.RemoveMember
	if request.Header().Get(forwardedHeader) != "" {
		remove = s.n.removeLocal
	}
	if err := remove(ctx, request.Msg.Name); err != nil {
		return nil, toWire(err)
	}
	return s.memberResponse(), nil
}

// ListMembers implements MemberService. It returns the membership in force on
// this host, which may be behind the leader's.
func (s *memberService) ListMembers(context.Context, *connect.Request[pb.ListMembersRequest]) (*connect.Response[pb.MemberResponse], error) {
	return s.memberResponse(), nil
}

func (s *memberService) memberResponse() *connect.Response[pb.MemberResponse] {
	s.n.mu.Lock()
	defer s.n.mu.Unlock()
	return connect.NewResponse(&pb.MemberResponse{Membership: s.n.members, Leader: s.n.leader})
}
