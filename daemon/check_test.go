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

// Check must load certificates and keys: otherwise it would accept a settings
// file with which the host cannot start.
func TestCheckLoadsCertificates(t *testing.T) {
	authority := testcert.NewAuthority(t, "hosts")
	certificate, otherCertificate := authority.Issue(t, "one"), authority.Issue(t, "other")
	file := filepath.Join(t.TempDir(), "control.ini")
	for key, valid := range map[string]bool{certificate.Key: true, otherCertificate.Key: false, authority.File: false} {
		content := "[host]\nrole = control\nname = c\ndata_centre = luzon\n[listen]\nhosts = 127.0.0.1:1\n" +
			"[control]\nmembers = c=127.0.0.1:1\ndata = data\n" +
			"[tls_hosts]\ncertificate = " + certificate.Certificate + "\nkey = " + key + "\nauthority = " + authority.File + "\n"
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		_, err := Check(file)
		var badFile *tlsconf.BadFile
		assert.Equal(t, errors.As(err, &badFile), !valid, "%v", err)
		assert.Equal(t, err == nil, valid, "%v", err)
	}
}
