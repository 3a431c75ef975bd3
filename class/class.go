// Package class defines classes of work: the only thing operators state.
package class

import (
	"regexp"
	"time"

	"lovageslip/fault"
)

// Limits of a class's targets.
const (
	MinWait = time.Millisecond
	MaxWait = time.Hour
	MaxAge  = 24 * time.Hour
)

var validName = regexp.MustCompile(`^[a-z][a-z0-9_]{0,31}$`)

// Class is a class of work and its targets.
type Class struct {
	Name string
	// Wait is how long a caller may wait for its request to start.
	Wait time.Duration
	// Age is how old an answer may be. Zero asks for current data.
	Age time.Duration
}

// Validate returns every problem of the definition; none if it is valid.
func (c Class) Validate() []*fault.Invalid {
	var problems []*fault.Invalid
	if !validName.MatchString(c.Name) {
		problems = append(problems, &fault.Invalid{Field: "class", Value: c.Name, Allowed: "a letter, then up to 31 of a-z, 0-9, _"})
	}
	if c.Wait < MinWait || c.Wait > MaxWait {
		problems = append(problems, &fault.Invalid{Field: "wait", Value: c.Wait.String(), Allowed: MinWait.String() + " to " + MaxWait.String()})
	}
	if c.Age < 0 || c.Age > MaxAge {
		problems = append(problems, &fault.Invalid{Field: "age", Value: c.Age.String(), Allowed: "0s to " + MaxAge.String()})
	}
	return problems
}
