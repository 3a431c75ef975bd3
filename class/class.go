// Package class defines classes of work. A class states how long its requests
// may wait and how old their answers may be, and operators state nothing else
// about the load. Control hosts store the classes, and every host that handles
// requests decides by their targets.
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

// Class is a class of work: the name that requests state, and its targets.
type Class struct {
	Name string
	// Wait is how long a caller may wait for its request to start.
	Wait time.Duration
	// Age is how old the data of an answer may be. Zero asks for the latest
	// data.
	Age time.Duration
}

// Validate returns all problems of the definition, none if it is valid.
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
