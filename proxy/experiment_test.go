package proxy

import (
	"bytes"
	"flag"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gotest.tools/v3/assert"
)

var experimentOut = flag.String("experiment.out", "", "directory to write the table and the plot of the experiment to")

// experimentPolicies are the policies that TestExperiment compares, the proxy's
// own first.
var experimentPolicies = []policy{policyChosen, policyArrival, policyPrimary, policyFixed}

// TestExperiment runs the load model for each pattern with the proxy's own
// policy and with simpler ones, and checks that the former earns the most in
// total. With -experiment.out it also writes the table and the plot of
// docs/notes/load.md.
func TestExperiment(t *testing.T) {
	begun, operations := time.Now(), 0
	sums := map[policy]float64{}
	var rows bytes.Buffer
	bars := map[policy]plotter.Values{}
	var names []string
	for _, p := range patterns() {
		names = append(names, p.name)
		fmt.Fprintf(&rows, "| %s |", p.name)
		var chosen *modelResult
		for _, policy := range experimentPolicies {
			r := runModel(t, policy, p.length, p.arrange)
			operations += len(r.operations)
			share := r.worth() / p.bound(r)
			sums[policy] += share
			bars[policy] = append(bars[policy], share)
			fmt.Fprintf(&rows, " %.3f |", share)
			if policy == policyChosen {
				chosen = r
			}
		}
		fmt.Fprintf(&rows, " %.3f | %.3f | %.3f | %.2f | %s |\n", p.bound(chosen), worst(chosen.earned, chosen.possible),
			worst(chosen.centreEarned, chosen.centrePossible)/chosen.worth(), p.amplification(chosen), p.lateness(chosen))
	}
	rate := float64(operations) / time.Since(begun).Seconds()
	t.Logf("%d operations, %.0f a second of wall time", operations, rate)
	for _, policy := range experimentPolicies[1:] {
		assert.Check(t, sums[policyChosen] > sums[policy], "%s earns at least as much", policyNames[policy])
	}
	if *experimentOut != "" {
		writeTable(t, rows.Bytes())
		writePlot(t, names, bars)
	}
}

func writeTable(t *testing.T, rows []byte) {
	t.Helper()
	var b bytes.Buffer
	fmt.Fprintf(&b, "<!-- Written by `make experiment`. -->\n\n| pattern |")
	for _, policy := range experimentPolicies {
		fmt.Fprintf(&b, " %s |", policyNames[policy])
	}
	b.WriteString(" bound | worst class | worst data centre / mean | offered / asked | late after the end |\n|---|")
	for range len(experimentPolicies) + 5 {
		b.WriteString("---|")
	}
	b.WriteString("\n")
	b.Write(rows)
	assert.NilError(t, os.WriteFile(filepath.Join(*experimentOut, "load-table.md"), b.Bytes(), 0o644))
}

func writePlot(t *testing.T, names []string, bars map[policy]plotter.Values) {
	t.Helper()
	p := plot.New()
	p.Title.Text = "Worth earned, of the bound"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	const width = 5 // points
	colours := []color.Color{color.RGBA{R: 0x1b, G: 0x7f, B: 0x4d, A: 255}, color.RGBA{R: 0xd9, G: 0x8f, B: 0x2b, A: 255},
		color.RGBA{R: 0x9a, G: 0x9a, B: 0x9a, A: 255}, color.RGBA{R: 0x4a, G: 0x6f, B: 0xa5, A: 255}}
	for i, policy := range experimentPolicies {
		chart, err := plotter.NewBarChart(bars[policy], vg.Points(width))
		assert.NilError(t, err)
		chart.Color = colours[i]
		chart.LineStyle.Width = 0
		chart.Offset = vg.Points(float64(width * (2*i - len(experimentPolicies) + 1) / 2))
		p.Add(chart)
		p.Legend.Add(policyNames[policy], chart)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = -0.6
	p.X.Tick.Label.XAlign = 0
	assert.NilError(t, p.Save(12*vg.Inch, 5*vg.Inch, filepath.Join(*experimentOut, "load.svg")))
}
