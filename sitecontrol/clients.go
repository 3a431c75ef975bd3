package sitecontrol

import (
	"net/http"
	"sync"

	"lovageslip/gen/lovageslip/v1/lovageslipv1connect"
)

// Clients caches clients of the site service, one for each internal address of
// a control host. It is safe for concurrent use.
type Clients struct {
	httpClient *http.Client

	// mu guards byAddress.
	mu        sync.Mutex
	byAddress map[string]lovageslipv1connect.SiteServiceClient
}

// NewClients returns an empty cache; its clients send their calls through the
// given HTTP client.
func NewClients(client *http.Client) *Clients {
	return &Clients{httpClient: client, byAddress: make(map[string]lovageslipv1connect.SiteServiceClient)}
}

// ForAddress returns the client of the control host at an internal address.
func (c *Clients) ForAddress(address string) lovageslipv1connect.SiteServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.byAddress[address]
	if !ok {
		client = lovageslipv1connect.NewSiteServiceClient(c.httpClient, "http://"+address)
		c.byAddress[address] = client
	}
	return client
}
