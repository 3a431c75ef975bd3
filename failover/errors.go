package failover

import "fmt"

// NoMajority reports that too few members answered. Nothing was decided.
type NoMajority struct {
	Database string
	Answered int
	Needed   int
}

func (e *NoMajority) Error() string {
	return fmt.Sprintf("database %s: %d members answered, %d are needed", e.Database, e.Answered, e.Needed)
}

// NoPrimary reports that no upstream of a new group leads yet.
type NoPrimary struct {
	Database string
}

func (e *NoPrimary) Error() string {
	return "database " + e.Database + ": no upstream leads yet"
}

// FalseAlarm reports that the leader reached a primary that its owner reports
// as unreachable.
type FalseAlarm struct {
	Database string
	Primary  string
}

func (e *FalseAlarm) Error() string {
	return "database " + e.Database + ": primary " + e.Primary + " answers the control leader"
}

// StepRefused reports that the logged state had moved on.
type StepRefused struct {
	Database string
	Step     string
}

func (e *StepRefused) Error() string {
	return "database " + e.Database + ": step " + e.Step + " was refused by the log"
}

// NotLeading reports that the leader's term has ended.
type NotLeading struct{}

func (e *NotLeading) Error() string { return "this host no longer leads" }

// CallRefused reports an upstream that did not do what it was told.
type CallRefused struct {
	Upstream string
	Call     string
	// Fenced is the term that the upstream has promised to.
	Fenced uint64
}

func (e *CallRefused) Error() string {
	return fmt.Sprintf("upstream %s did not %s; it is fenced at term %d", e.Upstream, e.Call, e.Fenced)
}

// NotSettled reports that members may not change yet.
type NotSettled struct {
	Database string
	Reason   string
}

func (e *NotSettled) Error() string {
	return "database " + e.Database + ": members may not change yet: " + e.Reason
}
