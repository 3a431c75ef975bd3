package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"
)

const (
	heartbeatMs = 1200
	drainMs     = 7000
	// proxyMemoryMB is the memory limit of an entry machine of tahimik-pool.
	proxyMemoryMB = 206
	service       = "svc4k"
	database      = "db7pu"
)

// configuration is a whole configuration with one route and one service.
func configuration(version int) []byte {
	document, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{"name": "r-1", "host": database, "path_prefix": "/", "type": "primary", "timeout_ms": 1000,
			"target_latency_ms": 800, "priority": 1, "service": service, "max_attempts": 2}},
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 71, "protocol": "h1", "tls": false, "sync_replicas": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": 3000},
	})
	if err != nil {
		panic(err)
	}
	return document
}

var caller = &http.Client{Timeout: time.Second}

// call makes one call to a control host and returns its status, 0 for no answer.
func call(method, url string, body []byte) (status int, answer []byte, err error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := caller.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(response.Body); err != nil {
		return 0, nil, err
	}
	return response.StatusCode, b.Bytes(), nil
}

// order sends a configuration to one control host after the other, with a growing pause
// after each failure, until one acknowledges it or the time is over. hosts returns the
// operator's list.
func (d *deployment) order(version int, hosts func() []int, until time.Duration) bool {
	pause, tries := 100*time.Millisecond, 0
	d.record.add("the operator sends configuration %d", version)
	for d.record.since() < until {
		list := hosts()
		last := list[tries%len(list)]
		tries++
		status, answer, err := call(http.MethodPut, "http://"+d.control(last)+"/-/config", configuration(version))
		if status == http.StatusOK {
			d.record.add("control-%d acknowledges configuration %d, at the operator's try %d", last, version, tries)
			return true
		}
		var reason string
		if err != nil {
			reason = errors.Unwrap(err).Error()
		}
		d.record.add("control-%d answers configuration %d with %d %s%s", last, version, status, strings.TrimSpace(string(answer)), reason)
		time.Sleep(pause)
		pause = min(pause*3/2, time.Second)
	}
	return false
}
