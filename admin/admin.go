// Package admin is a client of the control hosts for operators: it changes and
// lists classes and members, and reads the history and the status. The
// command-line tool cmd/lovageslip and daemon.RunDev use it.
package admin

import (
	"context"
	"crypto/rand"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"lovageslip/class"
	lovageslipv1 "lovageslip/gen/lovageslip/v1"
	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// attemptTimeout bounds one call to one control host.
const attemptTimeout = 3 * time.Second

// Unreachable reports that the call failed at every control host. A change may
// nevertheless have been accepted; resending it with the same change id is safe.
type Unreachable struct {
	ChangeID string
	Hosts    []string
	Err      error
}

func (e *Unreachable) Error() string {
	text := "no control host answered (" + strings.Join(e.Hosts, ", ") + "): " + e.Err.Error()
	if e.ChangeID != "" {
		text += "; the change may have been accepted, resend it with --change-id " + e.ChangeID
	}
	return text
}

func (e *Unreachable) Unwrap() error { return e.Err }

// Conflict reports that another change was accepted first, so that the expected
// version is no longer the current one. Nothing was changed.
type Conflict struct {
	Expected uint64
	Winner   *lovageslipv1.ClassChange
}

func (e *Conflict) Error() string {
	text := "another change came first"
	if e.Winner != nil {
		text += ": " + e.Winner.GetChangeId() + " by " + e.Winner.GetOperator() + " to class " + e.Winner.GetClass().GetName()
	}
	return text
}

// Rejected reports that the control hosts found a change invalid.
type Rejected struct {
	Problems []string
}

func (e *Rejected) Error() string { return strings.Join(e.Problems, "\n") }

// Client calls the control hosts in turn until one answers. It is safe for
// concurrent use.
type Client struct {
	hosts   []string
	control []lovageslipv1connect.ControlServiceClient
	members []lovageslipv1connect.MemberServiceClient
}

// New returns a client of the control hosts at the given addresses.
func New(httpClient *http.Client, hosts []string) *Client {
	c := &Client{hosts: hosts}
	for _, host := range hosts {
		c.control = append(c.control, lovageslipv1connect.NewControlServiceClient(httpClient, "http://"+host))
		c.members = append(c.members, lovageslipv1connect.NewMemberServiceClient(httpClient, "http://"+host))
	}
	return c
}

// Change is a change to one class.
type Change struct {
	// ChangeID identifies the change when it is resent; if empty, a new id
	// is generated.
	ChangeID string
	// Expected is the version that the operator saw; zero for the current one.
	Expected uint64
	Class    class.Class
	Remove   bool
	DryRun   bool
	Operator string
}

// ChangeClass makes a change. Resending it after *Unreachable with the same
// change id is safe: the control hosts return the first answer.
// Errors: *Unreachable, *Conflict, *Rejected.
func (c *Client) ChangeClass(ctx context.Context, change Change) (version uint64, err error) {
	if change.ChangeID == "" {
		change.ChangeID = rand.Text()
	}
	if change.Expected == 0 {
		classes, err := c.ListClasses(ctx)
		if err != nil {
			return 0, err
		}
		change.Expected = classes.GetVersion()
	}
	request := &lovageslipv1.ChangeClassRequest{
		ChangeId:        change.ChangeID,
		ExpectedVersion: change.Expected,
		Class:           toMessage(change.Class),
		Remove:          change.Remove,
		DryRun:          change.DryRun,
		Operator:        change.Operator,
	}
	response, err := call(ctx, c, change.ChangeID, request, lovageslipv1connect.ControlServiceClient.ChangeClass)
	if err != nil {
		return 0, err
	}
	if len(response.GetProblems()) > 0 {
		return 0, &Rejected{Problems: response.GetProblems()}
	}
	if response.GetConflict() {
		return 0, &Conflict{Expected: change.Expected, Winner: response.GetWinner()}
	}
	return response.GetVersion(), nil
}

func toMessage(c class.Class) *lovageslipv1.Class {
	return &lovageslipv1.Class{Name: c.Name, WaitMicros: c.Wait.Microseconds(), AgeMicros: c.Age.Microseconds()}
}

// ListClasses returns the classes and their version.
func (c *Client) ListClasses(ctx context.Context) (*lovageslipv1.ListClassesResponse, error) {
	return call(ctx, c, "", &lovageslipv1.ListClassesRequest{}, lovageslipv1connect.ControlServiceClient.ListClasses)
}

// History returns the latest changes, newest first.
func (c *Client) History(ctx context.Context, limit uint32) (*lovageslipv1.HistoryResponse, error) {
	return call(ctx, c, "", &lovageslipv1.HistoryRequest{Limit: limit}, lovageslipv1connect.ControlServiceClient.History)
}

// Status returns the hosts, upstreams, owners and groups known to a control host.
func (c *Client) Status(ctx context.Context) (*lovageslipv1.StatusResponse, error) {
	return call(ctx, c, "", &lovageslipv1.StatusRequest{}, lovageslipv1connect.ControlServiceClient.Status)
}

// ListMembers returns the control hosts and whether each of them votes.
func (c *Client) ListMembers(ctx context.Context) (*lovageslipv1.MemberResponse, error) {
	return callMember(ctx, c, &lovageslipv1.ListMembersRequest{}, lovageslipv1connect.MemberServiceClient.ListMembers)
}

// AddMember adds a control host as a non-voter; it votes once it has caught up.
func (c *Client) AddMember(ctx context.Context, name, address string) (*lovageslipv1.MemberResponse, error) {
	request := &lovageslipv1.AddMemberRequest{Name: name, Address: address}
	return callMember(ctx, c, request, lovageslipv1connect.MemberServiceClient.AddMember)
}

// RemoveMember removes a control host.
func (c *Client) RemoveMember(ctx context.Context, name string) (*lovageslipv1.MemberResponse, error) {
	request := &lovageslipv1.RemoveMemberRequest{Name: name}
	return callMember(ctx, c, request, lovageslipv1connect.MemberServiceClient.RemoveMember)
}

func callMember[Q any](ctx context.Context, c *Client, request *Q,
	m method[lovageslipv1connect.MemberServiceClient, Q, lovageslipv1.MemberResponse],
) (*lovageslipv1.MemberResponse, error) {
	return callEach(ctx, c, c.members, "", request, m)
}

func call[Q, R any](ctx context.Context, c *Client, changeID string, request *Q,
	m method[lovageslipv1connect.ControlServiceClient, Q, R],
) (*R, error) {
	return callEach(ctx, c, c.control, changeID, request, m)
}

type method[C, Q, R any] func(C, context.Context, *connect.Request[Q]) (*connect.Response[R], error)

// callEach calls the control hosts in turn until one answers, each at most once.
// Every call is idempotent: reads have no effect, a change carries its change id,
// and adding or removing a member twice has the effect of doing it once.
func callEach[C, Q, R any](ctx context.Context, c *Client, clients []C, changeID string, request *Q, m method[C, Q, R]) (*R, error) {
	var lastErr error
	for _, client := range clients {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := m(client, attemptCtx, connect.NewRequest(request))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		lastErr = err
	}
	return nil, &Unreachable{ChangeID: changeID, Hosts: c.hosts, Err: lastErr}
}
