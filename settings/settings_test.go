package settings

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const validProxy = `
[host]
role = proxy
name = luzon-1
data_centre = luzon
[listen]
callers = 127.0.0.1:6432
hosts = 127.0.0.1:7432
[control]
hosts = 127.0.0.1:7001, 127.0.0.1:7002
[session]
key_file = keys
[shutdown]
deadline = 45s
`

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	dir := t.TempDir()
	key := base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", minKeyBytes)))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "keys"), []byte("1 "+key+"\n"), 0o600))
	file := filepath.Join(dir, "proxy.ini")
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

func TestLoadProxy(t *testing.T) {
	s, err := LoadProxy(writeSettings(t, validProxy))
	assert.NilError(t, err)
	assert.Equal(t, s.Name, "luzon-1")
	assert.Equal(t, len(s.Control), 2)
	assert.Equal(t, s.ShutdownDeadline, 45*time.Second)
	assert.Equal(t, s.TokenKeys[0].ID, uint32(1))
}

// Guards against mistakes that are accepted, or reported without their file,
// section and key.
func TestMistakesAreReportedWithFileSectionAndKey(t *testing.T) {
	cases := []struct {
		name, old, new, want string
	}{
		{"host name instead of IP number", "127.0.0.1:6432", "localhost:6432", `[listen] callers: is not valid: "localhost:6432"; allowed: IP number and port`},
		{"missing port", "127.0.0.1:7432", "127.0.0.1", `[listen] hosts: is not valid: "127.0.0.1"`},
		{"unknown key", "deadline = 45s", "dead_line = 45s", `[shutdown] dead_line: is not a known setting "45s"`},
		{"unknown section", "[shutdown]", "[shut]", `[shut] deadline: is not a known setting`},
		{"out of range", "45s", "45ms", `[shutdown] deadline: is not valid: "45ms"; allowed: 1s to 1h0m0s`},
		{"missing key", "name = luzon-1", "", `[host] name: is required; allowed:`},
		{"key set twice", "name = luzon-1", "name = a\nname = b", `[host] name: is set more than once`},
		{"unreadable key file", "key_file = keys", "key_file = none", `[session] key_file: is not valid: "none"`},
		{"wrong role", "role = proxy", "role = control", `[host] role: is not the role of this file "control"; allowed: proxy`},
		{"TLS set by halves", "[shutdown]", "[tls_callers]\ncertificate = keys\n[shutdown]", `[tls_callers] certificate, key: must be set together`},
		{"SCRAM without passwords", "[shutdown]", "[callers]\nauth = scram\n[shutdown]", `[callers] password_file: is required with auth = scram`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := writeSettings(t, strings.Replace(validProxy, c.old, c.new, 1))
			_, err := LoadProxy(file)
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, file)
		})
	}
}
