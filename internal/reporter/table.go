package reporter

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lagooncleat/lagooncleat/pkg/budgeter"
	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	// noQueries stands where a window has no query to judge.
	noQueries = "no queries"
	// noBudget stands where the objective allows no bad query, or none is set.
	noBudget = "no budget"
)

// columns are the cells of a row, in order, as text.
type columns struct {
	Customer, Rank, Objective, Target, Window, Queries, Late, Incomplete, Refused, Burn string
	// Alert is set when the budget burns faster than it lasts.
	Alert bool
}

var headings = columns{
	"customer", "rank", "objective", "target", "window", "queries", "late", "incomplete", "refused", "burn", false,
}

func (c columns) line() string {
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Customer, c.Rank, c.Objective,
		c.Target, c.Window, c.Queries, c.Late, c.Incomplete, c.Refused, c.Burn)
}

func (r Row) columns() columns {
	t := r.Tally
	c := columns{
		Customer:   string(r.Series.Customer),
		Rank:       r.Series.Rank.String(),
		Objective:  fmt.Sprintf("%.4g%%", 100*float64(r.Objective.Share)),
		Target:     fmt.Sprintf("%d ms", r.Objective.Target/identifier.Millisecond),
		Window:     span(r.Window),
		Queries:    fmt.Sprint(t.Total),
		Late:       percent(t.Late, t.Total),
		Incomplete: percent(t.Incomplete, t.Total),
		Refused:    percent(t.Refused, t.Total),
	}
	if r.Objective.Target == 0 {
		c.Target = "none"
	}
	c.Burn, c.Alert = burn(r)
	return c
}

func burn(r Row) (string, bool) {
	if r.Tally.Total == 0 {
		return noQueries, false
	}
	b, ok := budgeter.Burn(r.Tally.Bad(), r.Tally.Total, r.Objective.Share)
	if !ok {
		return noBudget, false
	}
	return fmt.Sprintf("%.2f", float64(b)), b > 1
}

func percent(part, whole uint64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%d (%.3g%%)", part, 100*float64(part)/float64(whole))
}

// WriteTable writes the report as text.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, headings.line())
	for _, row := range r.Rows {
		fmt.Fprint(t, row.columns().line())
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
