package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(out io.Writer) *table {
	return &table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.w.Flush() }
