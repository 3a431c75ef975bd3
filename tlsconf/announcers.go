package tlsconf

import (
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"os"
	"slices"

	"lovageslip/settings"
)

// LimitAnnouncers returns a handler that lets clients with a certificate signed by
// s.Announcers call only the procedure announce. Clients with a certificate signed
// by s.Authority may call everything. Upstream hosts run software that is not part
// of this project, so a certificate that is stolen from them must not allow anyone
// to control the site. If s.Announcers is empty, LimitAnnouncers returns next.
// Errors: *BadFile.
func LimitAnnouncers(s settings.TLS, announce string, next http.Handler) (http.Handler, error) {
	if s.Announcers == "" {
		return next, nil
	}
	authorities, err := readCertificates(s.Authority)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != announce && !signedBy(authorities, r) {
			http.Error(w, "this certificate may only announce an upstream", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	}), nil
}

// signedBy reports whether the TLS handshake verified the client's certificate
// against one of the authorities.
func signedBy(authorities []*x509.Certificate, r *http.Request) bool {
	if r.TLS == nil {
		return false
	}
	for _, chain := range r.TLS.VerifiedChains {
		root := chain[len(chain)-1]
		if slices.ContainsFunc(authorities, root.Equal) {
			return true
		}
	}
	return false
}

func readCertificates(file string) ([]*x509.Certificate, error) {
	rest, err := os.ReadFile(file)
	if err != nil {
		return nil, &BadFile{File: file, Err: err}
	}
	var certificates []*x509.Certificate
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			return certificates, nil
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &BadFile{File: file, Err: err}
		}
		certificates = append(certificates, certificate)
	}
}
