package site

import (
	"encoding/hex"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	pb "lovageslip/gen/lovageslip/v1"
)

// Change says what happens to an entry between two configurations.
type Change string

// Values of Change.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is an entry that differs between two configurations. Fields lists the
// fields that do, with the values before and after.
type Difference struct {
	Change Change   `json:"change"`
	Entry  string   `json:"entry"`
	Fields []string `json:"fields,omitempty"`
}

// Differences returns what a configuration changes in the one in force: routes,
// groups and teams in this order, each sorted by name, and then other settings. Keys
// appear as the first bytes of their digests.
func Differences(inForce, next *pb.SiteConfig) []Difference {
	found := slices.Concat(
		compareEntries(inForce.Routes, next.Routes, routeEntryByKey),
		compareEntries(inForce.Groups, next.Groups, func(g *pb.SiteGroup) string { return "group " + g.Name }),
		compareEntries(inForce.Teams, next.Teams, func(t *pb.SiteTeam) string { return "team " + t.Name }),
	)
	if fields := changedFields(withoutEntries(inForce), withoutEntries(next)); len(fields) > 0 {
		found = append(found, Difference{Change: Changed, Entry: "configuration", Fields: fields})
	}
	return found
}

// routeEntryByKey names a route by what identifies it, because its name may change.
func routeEntryByKey(r *pb.SiteRoute) string { return "route " + r.Database + " " + r.Prefix }

func withoutEntries(c *pb.SiteConfig) *pb.SiteConfig {
	return &pb.SiteConfig{Version: c.Version, TransactionIdleMs: c.TransactionIdleMs}
}

func compareEntries[M proto.Message](before, after []M, entry func(M) string) []Difference {
	old, current := make(map[string]M), make(map[string]M)
	var names []string
	for _, m := range before {
		old[entry(m)] = m
		names = append(names, entry(m))
	}
	for _, m := range after {
		current[entry(m)] = m
		names = append(names, entry(m))
	}
	slices.Sort(names)
	var found []Difference
	for _, name := range slices.Compact(names) {
		was, existed := old[name]
		is, exists := current[name]
		switch {
		case !existed:
			found = append(found, Difference{Change: Added, Entry: name})
		case !exists:
			found = append(found, Difference{Change: Removed, Entry: name})
		default:
			if fields := changedFields(was, is); len(fields) > 0 {
				found = append(found, Difference{Change: Changed, Entry: name, Fields: fields})
			}
		}
	}
	return found
}

// changedFields describes the fields that differ between two messages of one type.
func changedFields(before, after proto.Message) []string {
	was, is := before.ProtoReflect(), after.ProtoReflect()
	fields := was.Descriptor().Fields()
	var changed []string
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsList():
			changed = append(changed, changedDigests(f, was.Get(f).List(), is.Get(f).List())...)
		case was.Has(f) != is.Has(f) || !was.Get(f).Equal(is.Get(f)):
			changed = append(changed, fmt.Sprintf("%s: %s -> %s", f.Name(), fieldText(f, was), fieldText(f, is)))
		}
	}
	return changed
}

func fieldText(f protoreflect.FieldDescriptor, m protoreflect.Message) string {
	switch {
	case f.HasPresence() && !m.Has(f):
		return "none"
	case f.Enum() != nil:
		return string(f.Enum().Values().ByNumber(m.Get(f).Enum()).Name())
	default:
		return m.Get(f).String()
	}
}

// digestPrefixBytes of a key's digest identify it in texts. They are too few to
// find the key.
const digestPrefixBytes = 4

// changedDigests describes the digests that were added or removed.
func changedDigests(f protoreflect.FieldDescriptor, before, after protoreflect.List) []string {
	was, is := digestPrefixes(before), digestPrefixes(after)
	var changed []string
	for _, d := range is {
		if !slices.Contains(was, d) {
			changed = append(changed, fmt.Sprintf("%s: added %s", f.Name(), d))
		}
	}
	for _, d := range was {
		if !slices.Contains(is, d) {
			changed = append(changed, fmt.Sprintf("%s: removed %s", f.Name(), d))
		}
	}
	return changed
}

func digestPrefixes(list protoreflect.List) []string {
	var prefixes []string
	for i := range list.Len() {
		digest := list.Get(i).Bytes()
		prefixes = append(prefixes, hex.EncodeToString(digest[:min(digestPrefixBytes, len(digest))]))
	}
	return prefixes
}
