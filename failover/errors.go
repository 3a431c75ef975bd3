package failover

import "fmt"

// NoMajority reports that too few members answered a call, so that the change of
// primary was not started or not continued.
type NoMajority struct {
	Database string
	Answered int
	Needed   int
}

func (e *NoMajority) Error() string {
	return fmt.Sprintf("database %s: %d members answered, %d are needed for a majority", e.Database, e.Answered, e.Needed)
}

// NoPrimary reports that no upstream of a new group is a primary yet.
type NoPrimary struct {
	Database string
}

func (e *NoPrimary) Error() string {
	return "database " + e.Database + ": no upstream of the new group is a primary yet"
}

// PrimaryReachable reports that a primary answered the control leader as the
// primary of its term, although its owner reported it as unreachable or as no
// longer the primary. It is not replaced.
type PrimaryReachable struct {
	Database string
	Primary  string
}

func (e *PrimaryReachable) Error() string {
	return "database " + e.Database + ": primary " + e.Primary + " was reported as lost, but answers the control leader"
}

// StepRefused reports a command that changed nothing, because the logged state of
// the group had changed since the leader read it.
type StepRefused struct {
	Database string
	Step     string
}

func (e *StepRefused) Error() string {
	return "database " + e.Database + ": step " + e.Step + " was refused, the logged state of the group has changed"
}

// NotLeading reports that the control leader's term has ended, so that it must
// not call upstreams any more.
type NotLeading struct{}

func (e *NotLeading) Error() string { return "this host no longer leads the control hosts" }

// CallRefused reports an upstream that answered, but did not carry out a call.
type CallRefused struct {
	Upstream string
	Call     string
	// Fenced is the term at which the upstream is fenced.
	Fenced uint64
}

func (e *CallRefused) Error() string {
	return fmt.Sprintf("upstream %s did not carry out the call to %s; it is fenced at term %d", e.Upstream, e.Call, e.Fenced)
}

// MemberChangeDeferred reports that the members of a group may not change yet,
// because it is not known that a majority or a new member has caught up.
type MemberChangeDeferred struct {
	Database string
	Reason   string
}

func (e *MemberChangeDeferred) Error() string {
	return "database " + e.Database + ": members may not change yet: " + e.Reason
}
