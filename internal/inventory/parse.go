package inventory

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
)

const (
	// MaxBytes bounds the size of a file. The largest planned deployment has
	// about 7,500 rows of about 80 bytes each.
	MaxBytes = 4 << 20
	// MaxRows bounds the rows after the header line, including empty rows.
	MaxRows = 20_000
)

// parser collects the rows and findings of one file.
type parser struct {
	file        string
	findings    finding.List
	serviceRows []serviceRow
	machineRows []machineRow
	// upstreamRowCounts counts the upstream rows of each service. It includes
	// rows that have other errors or an unknown role, so that one mistake
	// gives one finding.
	upstreamRowCounts map[string]int
}

// Parse reads an export. It returns no inventory if at least one finding is an
// error. The file name is only used in findings.
func Parse(file string, content []byte) (*intent.Inventory, finding.List) {
	p := &parser{file: file, upstreamRowCounts: map[string]int{}}
	if p.readContent(content) {
		p.checkRelations()
	}
	slices.SortStableFunc(p.findings.Findings, func(a, b finding.Finding) int {
		return cmp.Compare(a.Location.Line, b.Location.Line)
	})
	if p.findings.HasErrors() {
		return nil, p.findings
	}
	return p.sortedInventory(), p.findings
}

func (p *parser) location(line int, column string) finding.Location {
	return finding.Location{File: p.file, Line: line, Column: column}
}

// readContent parses the file. It reports whether all rows were read, so that
// they can be checked against each other.
func (p *parser) readContent(content []byte) bool {
	if len(content) > MaxBytes {
		p.findings.Errorf(p.location(0, ""), "file is larger than %d bytes", MaxBytes)
		return false
	}
	content = bytes.TrimPrefix(content, []byte("\ufeff"))
	if !utf8.Valid(content) {
		p.findings.Errorf(p.location(firstInvalidLine(content), ""), "text is not UTF-8")
		return false
	}
	reader := csv.NewReader(bytes.NewReader(content))
	reader.FieldsPerRecord = -1
	reader.Comma = fieldSeparator(content)
	record, err := reader.Read()
	if errors.Is(err, io.EOF) {
		p.findings.Errorf(p.location(0, ""), "file is empty")
		return false
	}
	if err != nil {
		p.addCSVError(err)
		return false
	}
	line, _ := reader.FieldPos(0)
	parsedHeader := p.readHeader(record, line)
	if p.findings.HasErrors() {
		return false
	}
	return p.readRows(reader, parsedHeader)
}

// readRows reads all rows after the header line. It continues after a malformed
// record, so that later rows are also checked. The loop ends because each Read
// consumes at least one line. It returns false if the file has too many rows.
func (p *parser) readRows(reader *csv.Reader, parsedHeader headerColumns) bool {
	for rows := 1; ; rows++ {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return true
		}
		if rows > MaxRows {
			p.findings.Errorf(p.location(0, ""), "file has more than %d rows", MaxRows)
			return false
		}
		if err != nil {
			p.addCSVError(err)
			continue
		}
		p.readRecord(reader, parsedHeader, record)
	}
}

func (p *parser) readRecord(reader *csv.Reader, parsedHeader headerColumns, record []string) {
	line, _ := reader.FieldPos(0)
	r := row{line: line, cells: make(map[column]cell, len(parsedHeader.byPosition))}
	for i, text := range record {
		name, ok := parsedHeader.byPosition[i]
		if !ok {
			continue
		}
		cellLine, _ := reader.FieldPos(i)
		r.cells[name] = cell{value: strings.TrimSpace(text), line: cellLine}
	}
	if r.isEmpty() {
		return
	}
	if len(record) != parsedHeader.fieldCount {
		p.findings.Errorf(p.location(line, ""), "row has %d fields, the header has %d", len(record), parsedHeader.fieldCount)
		return
	}
	switch kind := strings.ToLower(r.value(colKind)); kind {
	case "vm":
		p.readMachine(&r)
	case "service":
		p.readService(&r)
	default:
		p.addCellError(&r, colKind, "unknown kind %q: want vm or service", r.value(colKind))
	}
}

func (p *parser) addCSVError(err error) {
	var parseError *csv.ParseError
	if !errors.As(err, &parseError) {
		p.findings.Errorf(p.location(0, ""), "malformed CSV: %v", err)
		return
	}
	p.findings.Errorf(p.location(parseError.Line, ""), "malformed CSV at byte %d of the line: %v", parseError.Column, parseError.Err)
}

// addCellError adds an error finding at the location of a cell.
func (p *parser) addCellError(r *row, c column, format string, args ...any) {
	p.findings.Errorf(p.cellLocation(r, c), format, args...)
}

func (p *parser) cellLocation(r *row, c column) finding.Location {
	location := p.location(r.cells[c].line, string(c))
	if name := r.value(colName); name != "" {
		location.Object = strings.ToLower(r.value(colKind)) + " " + name
	}
	return location
}

// fieldSeparator returns the separator that the header line uses. Spreadsheets
// write a semicolon in locales where the comma is the decimal mark.
func fieldSeparator(content []byte) rune {
	headerLine, _, _ := bytes.Cut(content, []byte("\n"))
	if bytes.IndexByte(headerLine, ',') < 0 && bytes.IndexByte(headerLine, ';') >= 0 {
		return ';'
	}
	return ','
}

// firstInvalidLine returns the number of the first line that is not valid UTF-8.
func firstInvalidLine(content []byte) int {
	line := 1
	for len(content) > 0 {
		r, size := utf8.DecodeRune(content)
		if r == utf8.RuneError && size == 1 {
			break
		}
		if r == '\n' {
			line++
		}
		content = content[size:]
	}
	return line
}
