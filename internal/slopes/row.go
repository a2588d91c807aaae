package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// Row is one measured figure.
type Row struct {
	Name  string  `json:"name"`
	Unit  string  `json:"unit"`
	Value float64 `json:"value"`
	// N is the size at which the figure was measured, such as the number of members
	// or of bytes.
	N    int    `json:"n"`
	Seed uint64 `json:"seed"`
}

// rowWriter writes each row as a line of a table or as a JSON object.
type rowWriter struct {
	seed    uint64
	table   *tabwriter.Writer
	encoder *json.Encoder
}

func newRowWriter(out io.Writer, seed uint64, asJSON bool) *rowWriter {
	w := &rowWriter{seed: seed}
	if asJSON {
		w.encoder = json.NewEncoder(out)
		return w
	}
	const padding = 2
	w.table = tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(w.table, "name\tn\tvalue\tunit\tseed")
	return w
}

func (w *rowWriter) writeRow(name string, n int, value float64, unit string) error {
	row := Row{Name: name, Unit: unit, Value: value, N: n, Seed: w.seed}
	if w.encoder != nil {
		return w.encoder.Encode(row)
	}
	_, err := fmt.Fprintf(w.table, "%s\t%d\t%.4g\t%s\t%d\n", row.Name, row.N, row.Value, row.Unit, row.Seed)
	return err
}

func (w *rowWriter) flush() error {
	if w.table == nil {
		return nil
	}
	return w.table.Flush()
}
