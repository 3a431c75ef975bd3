package consensus

import (
	"net"
	"net/http"

	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// NewHTTPClient returns a client that speaks HTTP/2 without TLS. It pings idle
// connections, so that one that passes no data any more but was never closed is
// replaced.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
	}}
}

// clientLocked returns the client for an address. It keeps one per address.
func (n *Node) clientLocked(address string) lovageslipv1connect.ConsensusServiceClient {
	client, ok := n.clients[address]
	if !ok {
		url := n.options.Scheme + "://" + address
		client = lovageslipv1connect.NewConsensusServiceClient(n.httpClient, url)
		n.clients[address] = client
	}
	return client
}
