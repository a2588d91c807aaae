package inventory

import "strings"

// column is the name of a column of the export. Names in the header line are
// compared without regard to case.
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

// columns returns all supported columns in the documented order.
func columns() []column {
	return []column{
		colKind, colName, colAddress, colZone, colRole,
		colService, colPort, colProtocol, colSlots, colConnections,
	}
}

// headerColumns is the parsed header line. byPosition maps positions in a record
// to columns, without the unknown ones.
type headerColumns struct {
	fieldCount int
	byPosition map[int]column
}

// readHeader parses the header line. It adds a finding for each missing,
// repeated or unknown column.
func (p *parser) readHeader(record []string, line int) headerColumns {
	parsed := headerColumns{fieldCount: len(record), byPosition: map[int]column{}}
	seen := map[column]bool{}
	for i, text := range record {
		name := column(strings.ToLower(strings.TrimSpace(text)))
		if !isKnownColumn(name) {
			p.findings.Warnf(p.location(line, strings.TrimSpace(text)), "unknown column %d is ignored", i+1)
			continue
		}
		if seen[name] {
			p.findings.Errorf(p.location(line, string(name)), "column appears more than once")
		}
		seen[name] = true
		parsed.byPosition[i] = name
	}
	for _, expected := range columns() {
		if !seen[expected] {
			p.findings.Errorf(p.location(line, string(expected)), "column is missing")
		}
	}
	return parsed
}

func isKnownColumn(name column) bool {
	for _, candidate := range columns() {
		if candidate == name {
			return true
		}
	}
	return false
}

// cell is one value with the line that it starts on.
type cell struct {
	value string
	line  int
}

// row holds the values of the known columns of one record.
type row struct {
	line  int
	cells map[column]cell
}

func (r *row) value(c column) string { return r.cells[c].value }

func (r *row) isEmpty() bool {
	for _, field := range r.cells {
		if field.value != "" {
			return false
		}
	}
	return true
}
