package inventory

import "strings"

// column names a column of the export. Header names are matched without case.
type column string

const (
	colKind        column = "kind"
	colName        column = "name"
	colAddress     column = "address"
	colZone        column = "zone"
	colRole        column = "role"
	colService     column = "service"
	colPort        column = "port"
	colProtocol    column = "protocol"
	colSlots       column = "slots"
	colConnections column = "connections"
)

// columns returns the known columns in their documented order.
func columns() []column {
	return []column{
		colKind, colName, colAddress, colZone, colRole,
		colService, colPort, colProtocol, colSlots, colConnections,
	}
}

// header maps positions of a record to columns. Unknown columns are absent.
type header struct {
	width   int
	columns map[int]column
}

// readHeader reports missing, repeated and unknown columns.
func (p *parser) readHeader(record []string, line int) header {
	h := header{width: len(record), columns: map[int]column{}}
	seen := map[column]bool{}
	for i, text := range record {
		name := column(strings.ToLower(strings.TrimSpace(text)))
		if !known(name) {
			p.findings.Warnf(p.place(line, strings.TrimSpace(text)), "unknown column %d is ignored", i+1)
			continue
		}
		if seen[name] {
			p.findings.Errorf(p.place(line, string(name)), "column appears more than once")
		}
		seen[name] = true
		h.columns[i] = name
	}
	for _, c := range columns() {
		if !seen[c] {
			p.findings.Errorf(p.place(line, string(c)), "column is missing")
		}
	}
	return h
}

func known(name column) bool {
	for _, c := range columns() {
		if c == name {
			return true
		}
	}
	return false
}

// cell is one value with the line on which it stands.
type cell struct {
	text string
	line int
}

// row holds the known columns of one record.
type row struct {
	line  int
	cells map[column]cell
}

func (r *row) text(c column) string { return r.cells[c].text }

func (r *row) isEmpty() bool {
	for _, c := range r.cells {
		if c.text != "" {
			return false
		}
	}
	return true
}
