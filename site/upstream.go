package site

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"lovageslip/fault"
	pb "lovageslip/gen/lovageslip/v1"
)

const (
	// maxNameBytes bounds the words of a record: ids, groups and data centres. It is
	// the longest host name. Each proxy holds all records.
	maxNameBytes = 253
	// maxSlots bounds the slots of an upstream: a statement in a slot needs a
	// connection, and an address has no more than this many.
	maxSlots = 1 << 16
)

// CheckUpstream returns *fault.Invalid, with the field at fault, if a record names no
// upstream that a proxy could use. It is checked wherever a record comes in: from an
// announcement, from another control host, from the log or a snapshot, and in a view.
func CheckUpstream(u *pb.SiteUpstream) error {
	switch {
	case u == nil:
		return invalidUpstream("record", "none", "a record")
	case !isWord(u.Id):
		return invalidUpstream("id", u.Id, "one word")
	case !isWord(u.Group):
		return invalidUpstream("group", u.Group, "one word")
	case u.DataCentre != "" && !isWord(u.DataCentre):
		return invalidUpstream("data centre", u.DataCentre, "one word")
	case u.Slots > maxSlots:
		return invalidUpstream("slots", strconv.FormatUint(uint64(u.Slots), 10), "at most "+strconv.Itoa(maxSlots))
	case u.BornMs < 0:
		return invalidUpstream("start", strconv.FormatInt(u.BornMs, 10), "Unix milliseconds")
	}
	return checkAddress(u.Address)
}

// UsableUpstreams returns the records that CheckUpstream accepts.
func UsableUpstreams(records []*pb.SiteUpstream) []*pb.SiteUpstream {
	if !slices.ContainsFunc(records, func(u *pb.SiteUpstream) bool { return CheckUpstream(u) != nil }) {
		return records
	}
	return slices.DeleteFunc(slices.Clone(records), func(u *pb.SiteUpstream) bool { return CheckUpstream(u) != nil })
}

// checkAddress refuses addresses at which no upstream can listen, and other spellings of
// one that has a record: records are compared by their addresses.
func checkAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return invalidUpstream("address", address, "IP:port")
	case a.Port() == 0:
		return invalidUpstream("port", address, "1 to 65535")
	case a.Addr().Zone() != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr() == broadcast:
		return invalidUpstream("address", address, "the address of one host")
	case a.String() != address || a.Addr().Is4In6():
		return invalidUpstream("address", address, "its usual spelling")
	default:
		return nil
	}
}

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// isWord reports whether a text can be sent as one word of a line.
func isWord(s string) bool {
	return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, splitsWord)
}

func invalidUpstream(field, value, allowed string) error {
	return &fault.Invalid{Field: "upstream " + field, Value: strconv.QuoteToASCII(value[:min(len(value), maxNameBytes)]), Allowed: allowed}
}
