package settings

import (
	"encoding/base64"
	"log/slog"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"lovageslip/logging"
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

const (
	allowedName     = "1 to 63 of a-z, 0-9, _, ., -"
	allowedAddress  = "IP number and port, for example 127.0.0.1:6432"
	allowedFile     = "the path of a readable file"
	allowedPath     = "a path"
	allowedLevel    = "debug, info, warn, error"
	allowedFormat   = "text, json"
	allowedAuth     = "trust, scram"
	allowedMembers  = "name=IP:port pairs, separated by commas; 1, 3 or 5 of them"
	allowedHosts    = "IP:port, separated by commas; at least one"
	allowedKeyFile  = "a file of lines `number base64`, each key 32 bytes or more, the first one signs"
	allowedPassword = "a file of lines `user:password`"
	allowedUser     = "1 to 63 characters"
	allowedBool     = "true, false"
)

// minKeyBytes is the output size of HMAC-SHA-256. Shorter keys would weaken the
// signature.
const minKeyBytes = 32

func parseName(p *parser, value string) (string, bool) {
	return value, validName.MatchString(value)
}

func parseAddress(p *parser, value string) (string, bool) {
	_, err := netip.ParseAddrPort(value)
	return value, err == nil
}

func parseAddresses(p *parser, value string) ([]string, bool) {
	var addresses []string
	for _, part := range strings.Split(value, ",") {
		address, ok := parseAddress(p, strings.TrimSpace(part))
		if !ok {
			return nil, false
		}
		addresses = append(addresses, address)
	}
	return addresses, true
}

func parseMembers(p *parser, value string) ([]Member, bool) {
	var members []Member
	for _, part := range strings.Split(value, ",") {
		name, address, found := strings.Cut(strings.TrimSpace(part), "=")
		_, validAddress := parseAddress(p, address)
		if !found || !validName.MatchString(name) || !validAddress {
			return nil, false
		}
		members = append(members, Member{Name: name, Address: address})
	}
	validCount := len(members) == 1 || len(members) == 3 || len(members) == 5
	return members, validCount
}

func parseFolder(p *parser, value string) (string, bool) {
	return p.path(value), value != ""
}

func parseFile(p *parser, value string) (string, bool) {
	path := p.path(value)
	file, err := os.Open(path)
	if err != nil {
		return "", false
	}
	return path, file.Close() == nil
}

func parseLevel(p *parser, value string) (slog.Level, bool) {
	var level slog.Level
	err := level.UnmarshalText([]byte(value))
	return level, err == nil
}

func parseFormat(p *parser, value string) (logging.Format, bool) {
	format := logging.Format(value)
	return format, format == logging.FormatText || format == logging.FormatJSON
}

func parseAuth(p *parser, value string) (Auth, bool) {
	auth := Auth(value)
	return auth, auth == AuthTrust || auth == AuthSCRAM
}

const maxUserBytes = 63

func parseUser(_ *parser, value string) (string, bool) {
	return value, value != "" && len(value) <= maxUserBytes
}

func parseBool(_ *parser, value string) (bool, bool) {
	return value == "true", value == "true" || value == "false"
}

// durationBetween returns a parse function for durations from minimum to maximum,
// both included.
func durationBetween(minimum, maximum time.Duration) func(*parser, string) (time.Duration, bool) {
	return func(_ *parser, value string) (time.Duration, bool) {
		d, err := time.ParseDuration(value)
		return d, err == nil && d >= minimum && d <= maximum
	}
}

func parseKeys(p *parser, value string) ([]TokenKey, bool) {
	content, err := os.ReadFile(p.path(value))
	if err != nil {
		return nil, false
	}
	var keys []TokenKey
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if len(fields) != 2 {
			return nil, false
		}
		secret, err := base64.StdEncoding.DecodeString(fields[1])
		id, idErr := strconv.ParseUint(fields[0], 10, 32)
		if err != nil || idErr != nil || len(secret) < minKeyBytes {
			return nil, false
		}
		keys = append(keys, TokenKey{ID: uint32(id), Secret: secret})
	}
	return keys, len(keys) > 0
}

func parsePasswords(p *parser, value string) (map[string]string, bool) {
	passwords, err := ReadPasswords(p.path(value))
	return passwords, err == nil
}

// BadPasswords reports a password file that cannot be used. Its text shows no
// contents of the file, since they may be secret.
type BadPasswords struct {
	File string
	Line int // 0 if the file as a whole cannot be used
}

func (e *BadPasswords) Error() string {
	if e.Line == 0 {
		return e.File + ": cannot be read or has no passwords; allowed: " + allowedPassword
	}
	return e.File + ": line " + strconv.Itoa(e.Line) + " is not valid; allowed: " + allowedPassword
}

// ReadPasswords reads a file of lines user:password and returns the passwords by
// user. A password may contain colons, but spaces at its end are removed. A user
// may occur only once.
// Errors: *BadPasswords.
func ReadPasswords(file string) (map[string]string, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, &BadPasswords{File: file}
	}
	passwords := make(map[string]string)
	lineNumber := 0
	for line := range strings.Lines(string(content)) {
		lineNumber++
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		user, password, found := strings.Cut(line, ":")
		_, repeated := passwords[user]
		if !found || repeated || user == "" || password == "" {
			return nil, &BadPasswords{File: file, Line: lineNumber}
		}
		passwords[user] = password
	}
	if len(passwords) == 0 {
		return nil, &BadPasswords{File: file}
	}
	return passwords, nil
}
