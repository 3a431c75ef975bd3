package pgupstream

import (
	"context"
	"fmt"
	"strings"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// link is a network path to a server, through a toxiproxy that adds failures.
type link struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

func newLink(t *testing.T, address string) *link {
	t.Helper()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(server, t.Name(), "127.0.0.1:0", address)
	assert.NilError(t, proxy.Start())
	t.Cleanup(proxy.Stop)
	return &link{t: t, proxy: proxy}
}

func (l *link) address() string { return l.proxy.Listen }

// cutAfter closes each connection once it has carried that many bytes of answers.
func (l *link) cutAfter(bytes int) {
	l.t.Helper()
	l.addToxic(fmt.Sprintf(`{"name":"cut","type":"limit_data","attributes":{"bytes":%d}}`, bytes))
}

func (l *link) addToxic(toxic string) {
	l.t.Helper()
	_, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
	assert.NilError(l.t, err)
}

func (l *link) restore() {
	l.t.Helper()
	assert.NilError(l.t, l.proxy.Toxics.RemoveToxic(context.Background(), "cut"))
}
