package daemon

import (
	"crypto/tls"

	"lovageslip/settings"
	"lovageslip/tlsconf"
)

// Check validates the settings file of a proxy or control host as the host does
// at its start, including certificates, keys and authorities. It opens no port.
// Errors: settings.Problems, *tlsconf.BadFile.
func Check(file string) (settings.Kind, error) {
	kind, err := settings.Check(file)
	if err != nil {
		return "", err
	}
	if kind == settings.KindControl {
		s, err := settings.LoadControl(file)
		if err != nil {
			return "", err
		}
		return kind, checkTLS(settings.TLS{}, s.TLSHosts, s.TLSUpstreams)
	}
	s, err := settings.LoadProxy(file)
	if err != nil {
		return "", err
	}
	return kind, checkTLS(s.TLSCallers, s.TLSHosts, s.TLSUpstreams)
}

func checkTLS(callers, hosts, upstreams settings.TLS) error {
	loaders := []func() (*tls.Config, error){
		func() (*tls.Config, error) { return tlsconf.Server(callers) },
		func() (*tls.Config, error) { return tlsconf.Server(hosts) },
		func() (*tls.Config, error) { return tlsconf.Client(hosts) },
		func() (*tls.Config, error) { return tlsconf.Client(upstreams) },
	}
	for _, load := range loaders {
		if _, err := load(); err != nil {
			return err
		}
	}
	return nil
}
