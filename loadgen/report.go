package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"lovageslip/fault"
)

const barWidth = 40

// WriteTable writes a table with one row for each kind of work, and below it the
// number of requests by outcome.
// Errors: *fault.IO.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "profile %s, seed %d, %.1f s\n", r.Profile, r.Seed, r.Elapsed.Seconds())
	fmt.Fprintln(table, "work\tsent\tok\tinside\tp50\tp90\tp99\tp99.9\tmax\tlongest gap\tat\t")
	for _, work := range r.Work {
		l := work.Latency
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f %%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n",
			work.Name, work.Sent, work.OK, 100*work.WithinTargetShare,
			formatDuration(l.P50), formatDuration(l.P90), formatDuration(l.P99), formatDuration(l.P999), formatDuration(l.Max),
			formatDuration(work.LongestGap), formatDuration(work.GapStart))
	}
	if err := table.Flush(); err != nil {
		return &fault.IO{Op: "write table", Err: err}
	}
	return r.writeOutcomes(w)
}

func (r *Result) writeOutcomes(w io.Writer) error {
	for _, work := range r.Work {
		var parts []string
		for _, outcome := range slices.Sorted(maps.Keys(work.Outcomes)) {
			parts = append(parts, fmt.Sprintf("%s %d", outcome, work.Outcomes[outcome]))
		}
		if _, err := fmt.Fprintf(w, "%s: %s\n", work.Name, strings.Join(parts, ", ")); err != nil {
			return &fault.IO{Op: "write outcomes", Err: err}
		}
	}
	return nil
}

// WriteChart draws a bar chart for each kind of work, one bar a second: '#' for
// requests that succeeded within their target, '+' for those that succeeded late,
// '.' for those that failed.
// Errors: *fault.IO.
func (r *Result) WriteChart(w io.Writer) error {
	for _, work := range r.Work {
		if _, err := fmt.Fprintf(w, "%s: # inside, + late, . failed; p50, p99\n", work.Name); err != nil {
			return &fault.IO{Op: "write chart", Err: err}
		}
		if err := work.writeBars(w); err != nil {
			return err
		}
	}
	return nil
}

func (r *WorkResult) writeBars(w io.Writer) error {
	mostSent := int64(1)
	for _, second := range r.Seconds {
		mostSent = max(mostSent, second.Sent)
	}
	for i, second := range r.Seconds {
		if second.Sent == 0 {
			continue
		}
		_, err := fmt.Fprintf(w, "%4d s %6d %-*s %8s %8s\n",
			i, second.Sent, barWidth, second.bar(mostSent), formatDuration(second.P50), formatDuration(second.P99))
		if err != nil {
			return &fault.IO{Op: "write chart", Err: err}
		}
	}
	return nil
}

// bar returns the bar of a second. A second with mostSent requests gets barWidth
// characters, others proportionally fewer.
func (s Second) bar(mostSent int64) string {
	scale := func(n int64) int { return int((n*barWidth + mostSent - 1) / mostSent) }
	withinTarget := scale(s.WithinTarget)
	ok := max(scale(s.OK), withinTarget)
	sent := max(scale(s.Sent), ok)
	return strings.Repeat("#", withinTarget) + strings.Repeat("+", ok-withinTarget) + strings.Repeat(".", sent-ok)
}

// formatDuration formats a duration in seconds or milliseconds with about three
// significant digits.
func formatDuration(d time.Duration) string {
	switch {
	case d >= 10*time.Second:
		return fmt.Sprintf("%.1fs", d.Seconds())
	case d >= time.Second:
		return fmt.Sprintf("%.2fs", d.Seconds())
	case d >= 10*time.Millisecond:
		return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
	}
	return fmt.Sprintf("%.2fms", float64(d)/float64(time.Millisecond))
}
