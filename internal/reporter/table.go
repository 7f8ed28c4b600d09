package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// noQueries is shown as the burn of a window without queries.
	noQueries = "no queries"
	// noBudget is shown as the burn if the objective allows no bad query.
	noBudget = "no budget"
)

// cells holds the formatted cells of a row, in the order of the columns.
type cells struct {
	Customer, Rank, Objective, Target, Window, Queries, Late, Incomplete, Refused, Burn string
	// Alert is set if the burn is above 1: the error budget is used up before the objective's
	// period ends.
	Alert bool
}

var headings = cells{
	"customer", "rank", "objective", "target", "window", "queries", "late", "incomplete", "refused", "burn", false,
}

func (c cells) tableLine() string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Customer, c.Rank, c.Objective,
		c.Target, c.Window, c.Queries, c.Late, c.Incomplete, c.Refused, c.Burn)
}

func (r Row) cells() cells {
	t := r.Tally
	c := cells{
		Customer:   string(r.Series.Customer),
		Rank:       r.Series.Rank.String(),
		Objective:  fmt.Sprintf("%.4g%%", 100*float64(r.Objective.Share)),
		Target:     fmt.Sprintf("%d ms", r.Objective.Target/identifier.Millisecond),
		Window:     formatDuration(r.Window),
		Queries:    fmt.Sprint(t.Total),
		Late:       formatShare(t.Late, t.Total),
		Incomplete: formatShare(t.Incomplete, t.Total),
		Refused:    formatShare(t.Refused, t.Total),
	}
	if r.Objective.Target == 0 {
		c.Target = "none"
	}
	c.Burn, c.Alert = formatBurn(r)
	return c
}

// formatBurn formats the burn of a row and reports whether it is above 1.
func formatBurn(r Row) (string, bool) {
	if r.Tally.Total == 0 {
		return noQueries, false
	}
	b, ok := budgeter.BurnRate(r.Tally.Bad(), r.Tally.Total, r.Objective.Share)
	if !ok {
		return noBudget, false
	}
	return fmt.Sprintf("%.2f", float64(b)), b > 1
}

func formatShare(part, total uint64) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d (%.3g%%)", part, 100*float64(part)/float64(total))
}

// WriteTable writes the report as a text table, followed by the notes.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, headings.tableLine())
	for _, row := range r.Rows {
		fmt.Fprint(t, row.cells().tableLine())
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("reporter: write table: %w", err)
	}
	for _, note := range r.Notes {
		if _, err := fmt.Fprintf(w, "note: %s\n", note); err != nil {
			return fmt.Errorf("reporter: write note: %w", err)
		}
	}
	return nil
}
