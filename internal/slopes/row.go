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
	// N is the size at which the figure was measured.
	N    int    `json:"n"`
	Seed uint64 `json:"seed"`
}

// printer writes rows as they are measured.
type printer struct {
	seed   uint64
	table  *tabwriter.Writer
	encode *json.Encoder
}

func newPrinter(out io.Writer, seed uint64, asJSON bool) *printer {
	p := &printer{seed: seed}
	if asJSON {
		p.encode = json.NewEncoder(out)
		return p
	}
	const padding = 2
	p.table = tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	_, _ = fmt.Fprintln(p.table, "name\tn\tvalue\tunit\tseed")
	return p
}

func (p *printer) add(name string, n int, value float64, unit string) error {
	r := Row{Name: name, Unit: unit, Value: value, N: n, Seed: p.seed}
	if p.encode != nil {
		return p.encode.Encode(r)
	}
	_, err := fmt.Fprintf(p.table, "%s\t%d\t%.4g\t%s\t%d\n", r.Name, r.N, r.Value, r.Unit, r.Seed)
	return err
}

func (p *printer) flush() error {
	if p.table == nil {
		return nil
	}
	return p.table.Flush()
}
