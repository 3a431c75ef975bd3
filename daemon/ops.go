// Package daemon assembles the parts of a proxy host, of a control host and of
// the development set-up. The programs lovageslip-proxy and lovageslip-control
// and the commands dev and check of lovageslip only parse flags and call it.
package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"lovageslip/fault"
)

const readHeaderTimeout = 5 * time.Second

// Readiness reports whether this host is ready to serve callers, and the reason
// if it is not. The platform's readiness check gets the answer.
type Readiness func() (ready bool, reason string)

// serveOps serves metrics, health and readiness over HTTP until ctx ends. With
// an empty address it serves nothing.
func serveOps(ctx context.Context, address string, metrics http.Handler, ready Readiness) error {
	if address == "" {
		<-ctx.Done()
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return &fault.IO{Op: "listen for metrics", Err: err}
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", metrics)
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/ready", readyHandler(ready))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); ctx.Err() == nil {
		return &fault.IO{Op: "serve metrics", Err: err}
	}
	return nil
}

func readyHandler(ready Readiness) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		if ok {
			w.WriteHeader(http.StatusOK)
			return
		}
		http.Error(w, reason, http.StatusServiceUnavailable)
	}
}
