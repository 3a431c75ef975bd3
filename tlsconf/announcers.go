package tlsconf

import (
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"os"
	"slices"

	"lovageslip/settings"
)

// LimitAnnouncers lets clients whose certificate is of s.Announcers, and not of
// s.Authority, call nothing but the procedure announce: the hosts of upstreams
// run software that is not ours, and a stolen certificate of theirs must not
// control the site. Without such an authority it returns next.
// Errors: *BadFile.
func LimitAnnouncers(s settings.TLS, announce string, next http.Handler) (http.Handler, error) {
	if s.Announcers == "" {
		return next, nil
	}
	hosts, err := certificates(s.Authority)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != announce && !signedBy(hosts, r) {
			http.Error(w, "this certificate may only announce an upstream", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	}), nil
}

// signedBy reports whether the handshake has verified the client's certificate
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

func certificates(file string) ([]*x509.Certificate, error) {
	rest, err := os.ReadFile(file)
	if err != nil {
		return nil, &BadFile{File: file, Err: err}
	}
	var all []*x509.Certificate
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			return all, nil
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		certificate, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, &BadFile{File: file, Err: err}
		}
		all = append(all, certificate)
	}
}
