package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const secret = "hunter2-and-more"

// writeSettingsAndPasswords writes proxy settings with extra lines and a password
// file, and returns the path of the settings file.
func writeSettingsAndPasswords(t *testing.T, extraLines, passwords string) string {
	t.Helper()
	file := writeSettings(t, validProxy+extraLines)
	assert.NilError(t, os.WriteFile(filepath.Join(filepath.Dir(file), "passwords"), []byte(passwords), 0o600))
	return file
}

func TestLoginSettings(t *testing.T) {
	extraLines := "[callers]\nauth = scram\npassword_file = passwords\nrequire_tls = true\n" +
		"[tls_callers]\ncertificate = keys\nkey = keys\n" +
		"[upstreams]\nuser = proxy\npassword_file = passwords\n[tls_upstreams]\nauthority = keys\n" +
		"[tls_hosts]\ncertificate = keys\nkey = keys\nauthority = keys\nannouncers = keys\n"
	s, err := LoadProxy(writeSettingsAndPasswords(t, extraLines, "app:with:colon\n\nproxy:"+secret+"\n"))
	assert.NilError(t, err)
	assert.Equal(t, s.Auth, AuthSCRAM)
	assert.Equal(t, s.Passwords["app"], "with:colon")
	assert.Assert(t, s.RequireTLS)
	assert.Equal(t, s.Upstreams, Upstreams{User: "proxy", Password: secret})
	assert.Assert(t, s.TLSUpstreams.Enabled())
	assert.Equal(t, s.TLSHosts.Announcers, filepath.Join(filepath.Dir(s.TLSHosts.Authority), "keys"))
}

func TestUpstreamLoginOfControlHost(t *testing.T) {
	control := "[host]\nrole = control\nname = c\ndata_centre = luzon\n[listen]\nhosts = 127.0.0.1:1\n" +
		"[control]\nmembers = c=127.0.0.1:1\ndata = data\n"
	s, err := LoadControl(writeSettings(t, control))
	assert.NilError(t, err)
	assert.Equal(t, s.Upstreams, Upstreams{User: DefaultUpstreamUser})
	file := writeSettings(t, control+"[upstreams]\npassword_file = passwords\n")
	assert.NilError(t, os.WriteFile(filepath.Join(filepath.Dir(file), "passwords"), []byte("lovageslip:"+secret), 0o600))
	s, err = LoadControl(file)
	assert.NilError(t, err)
	assert.Equal(t, s.Upstreams, Upstreams{User: DefaultUpstreamUser, Password: secret})
}

// Guards against error texts that show a secret, and against mistakes that disable
// authentication or TLS without an error.
func TestMistakesAboutSecretsDoNotShowThem(t *testing.T) {
	callers, upstreams := "[callers]\nauth = scram\npassword_file = passwords\n", "[upstreams]\npassword_file = passwords\n"
	cases := []struct {
		name, extraLines, passwords, want string
	}{
		{"line without a colon", callers, "app:x\n" + secret + "\n", `[callers] password_file: is not valid: "passwords"`},
		{"user without password", callers, secret + ":\n", `[callers] password_file: is not valid: "passwords"`},
		{"user twice", callers, "app:x\napp:" + secret + "\n", `[callers] password_file: is not valid: "passwords"`},
		{"empty file", callers, "\n", `[callers] password_file: is not valid: "passwords"`},
		{"other users only", upstreams, "app:" + secret, `[upstreams] password_file: has no password of user lovageslip`},
		{"password in the settings", "[upstreams]\npassword = " + secret + "\n", "", `[upstreams] password: is not a known setting`},
		{"password of callers in the settings", "[callers]\npassword = " + secret + "\n", "", `[callers] password: is not a known setting`},
		{"TLS required and off", "[callers]\nrequire_tls = true\n", "", `[callers] require_tls: needs [tls_callers]`},
		{"announcers without TLS", "[tls_hosts]\nannouncers = keys\n", "", `[tls_hosts] announcers: needs certificate`},
		{"neither true nor false", "[callers]\nrequire_tls = yes\n", "", `[callers] require_tls: is not valid: "yes"; allowed: true, false`},
		{"line that is no setting", secret + "\n", "", "a line has neither = nor :"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := writeSettingsAndPasswords(t, c.extraLines, c.passwords)
			_, err := LoadProxy(file)
			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, file)
			assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
		})
	}
}

// Guards against an error text that shows passwords because a password file was
// passed as the settings file.
func TestPasswordFileGivenAsSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "passwords")
	assert.NilError(t, os.WriteFile(file, []byte("app:"+secret+"\n"), 0o600))
	_, err := Check(file)
	assert.ErrorContains(t, err, file)
	assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
}

// Guards against an error text that does not give the number of the wrong line.
func TestBadPasswordLineIsNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "passwords")
	assert.NilError(t, os.WriteFile(file, []byte("app:x\n\n"+secret+"\n"), 0o600))
	_, err := ReadPasswords(file)
	assert.ErrorContains(t, err, file+": line 3")
	assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
}
