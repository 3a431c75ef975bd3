package proxy

import (
	"fmt"
	"testing"

	pb "lovageslip/gen/lovageslip/v1"
	"lovageslip/site"
)

// largeParts returns a site of 296 proxies with 323 groups of three upstreams, about one
// group for each host.
func largeParts(index uint64) site.ViewParts {
	p := site.ViewParts{Index: index, Config: &pb.SiteConfig{Version: 1}, Proxies: 296}
	for i := range 323 {
		g := fmt.Sprintf("g%d", i)
		p.Config.Groups = append(p.Config.Groups, &pb.SiteGroup{Name: g, MaxConnections: 71})
		p.Groups = append(p.Groups, &pb.SiteGroupState{Group: g, Primary: fmt.Sprintf("u%d-0", i)})
		for k := range 3 {
			p.Upstreams = append(p.Upstreams, &pb.SiteUpstream{Id: fmt.Sprintf("u%d-%d", i, k), Group: g, Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200*3+k), Slots: 5})
			p.Config.Routes = append(p.Config.Routes, &pb.SiteRoute{Database: fmt.Sprintf("d%d-%d", i, k), Prefix: "/", Group: g, TargetMs: 1000, TimeoutMs: 1000})
		}
	}
	for i := range 99 {
		p.Relays = append(p.Relays, &pb.RelayHost{Name: fmt.Sprintf("front-%d", i), Address: fmt.Sprintf("10.1.0.%d:1", i), StartedMs: 1})
	}
	return p
}

func BenchmarkNewViewOfALargeSite(b *testing.B) {
	parts := largeParts(1)
	b.ReportAllocs()
	for b.Loop() {
		site.NewView(parts)
	}
}

func BenchmarkSetViewOfALargeSite(b *testing.B) {
	p := New(Options{Name: "front-1", DataCentre: "a", Regions: map[string]string{"a": "r"}})
	views := []*site.View{site.NewView(largeParts(1)), site.NewView(largeParts(2))}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		p.SetView(views[i%2])
		i++
	}
}

func BenchmarkReachabilityOfALargeSite(b *testing.B) {
	p := New(Options{Name: "front-1", DataCentre: "a", Regions: map[string]string{"a": "r"}})
	p.SetView(site.NewView(largeParts(1)))
	b.ReportAllocs()
	for b.Loop() {
		p.PrimaryReachability()
	}
}

func BenchmarkTickOfALargeSite(b *testing.B) {
	p := New(Options{Name: "front-1", DataCentre: "a", Regions: map[string]string{"a": "r"}})
	p.SetView(site.NewView(largeParts(1)))
	b.ReportAllocs()
	for b.Loop() {
		p.claimChecks()
		p.samplesDue()
		p.refreshRelayQuotas()
		p.closeIdle()
		p.recordViewAge()
	}
}
