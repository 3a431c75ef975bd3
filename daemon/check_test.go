package daemon

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"lovageslip/internal/testcert"
	"lovageslip/tlsconf"
)

// Guards against a check that passes files with which the host does not start.
func TestCheckLoadsCertificates(t *testing.T) {
	authority := testcert.NewAuthority(t, "hosts")
	one, other := authority.Issue(t, "one"), authority.Issue(t, "other")
	file := filepath.Join(t.TempDir(), "control.ini")
	for key, good := range map[string]bool{one.Key: true, other.Key: false, authority.File: false} {
		content := "[host]\nrole = control\nname = c\ndata_centre = luzon\n[listen]\nhosts = 127.0.0.1:1\n" +
			"[control]\nmembers = c=127.0.0.1:1\ndata = data\n" +
			"[tls_hosts]\ncertificate = " + one.Certificate + "\nkey = " + key + "\nauthority = " + authority.File + "\n"
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		_, err := Check(file)
		var bad *tlsconf.BadFile
		assert.Equal(t, errors.As(err, &bad), !good, "%v", err)
		assert.Equal(t, err == nil, good, "%v", err)
	}
}
