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
	// about 7,500 rows of about 80 bytes.
	MaxBytes = 4 << 20
	// MaxRows bounds the rows below the header, empty rows included.
	MaxRows = 20_000
)

// parser collects rows and findings of one file.
type parser struct {
	file     string
	findings finding.List
	services []serviceRow
	machines []machineRow
	// mentioned counts the upstream rows of each service, with those that
	// have other errors, so that one mistake gives one finding.
	mentioned map[string]int
}

// Parse reads an export. A file with at least one error yields no inventory.
// The file name is used in findings only.
func Parse(file string, content []byte) (*intent.Inventory, finding.List) {
	p := &parser{file: file, mentioned: map[string]int{}}
	if p.read(content) {
		p.relate()
	}
	slices.SortStableFunc(p.findings.Findings, func(a, b finding.Finding) int {
		return cmp.Compare(a.Location.Line, b.Location.Line)
	})
	if p.findings.HasErrors() {
		return nil, p.findings
	}
	return p.inventory(), p.findings
}

func (p *parser) place(line int, column string) finding.Location {
	return finding.Location{File: p.file, Line: line, Column: column}
}

// read reports whether rows could be read at all.
func (p *parser) read(content []byte) bool {
	if len(content) > MaxBytes {
		p.findings.Errorf(p.place(0, ""), "file is larger than %d bytes", MaxBytes)
		return false
	}
	content = bytes.TrimPrefix(content, []byte("\ufeff"))
	if !utf8.Valid(content) {
		p.findings.Errorf(p.place(invalidLine(content), ""), "text is not UTF-8")
		return false
	}
	reader := csv.NewReader(bytes.NewReader(content))
	reader.FieldsPerRecord = -1
	reader.Comma = separator(content)
	record, err := reader.Read()
	if errors.Is(err, io.EOF) {
		p.findings.Errorf(p.place(0, ""), "file is empty")
		return false
	}
	if err != nil {
		p.malformed(err)
		return false
	}
	line, _ := reader.FieldPos(0)
	h := p.readHeader(record, line)
	if p.findings.HasErrors() {
		return false
	}
	return p.readRows(reader, h)
}

// readRows continues after a malformed record, so that later rows are checked
// as well. Each Read consumes at least one line.
func (p *parser) readRows(reader *csv.Reader, h header) bool {
	for rows := 1; ; rows++ {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return true
		}
		if rows > MaxRows {
			p.findings.Errorf(p.place(0, ""), "file has more than %d rows", MaxRows)
			return false
		}
		if err != nil {
			p.malformed(err)
			continue
		}
		p.readRecord(reader, h, record)
	}
}

func (p *parser) readRecord(reader *csv.Reader, h header, record []string) {
	line, _ := reader.FieldPos(0)
	r := row{line: line, cells: make(map[column]cell, len(h.columns))}
	for i, text := range record {
		c, ok := h.columns[i]
		if !ok {
			continue
		}
		at, _ := reader.FieldPos(i)
		r.cells[c] = cell{text: strings.TrimSpace(text), line: at}
	}
	if r.isEmpty() {
		return
	}
	if len(record) != h.width {
		p.findings.Errorf(p.place(line, ""), "row has %d fields, the header has %d", len(record), h.width)
		return
	}
	switch kind := strings.ToLower(r.text(colKind)); kind {
	case "vm":
		p.readMachine(&r)
	case "service":
		p.readService(&r)
	default:
		p.fail(&r, colKind, "unknown kind %q: want vm or service", r.text(colKind))
	}
}

func (p *parser) malformed(err error) {
	var parse *csv.ParseError
	if !errors.As(err, &parse) {
		p.findings.Errorf(p.place(0, ""), "malformed CSV: %v", err)
		return
	}
	p.findings.Errorf(p.place(parse.Line, ""), "malformed CSV at byte %d of the line: %v", parse.Column, parse.Err)
}

// fail adds an error at a cell.
func (p *parser) fail(r *row, c column, format string, args ...any) {
	p.findings.Errorf(p.cellPlace(r, c), format, args...)
}

func (p *parser) cellPlace(r *row, c column) finding.Location {
	place := p.place(r.cells[c].line, string(c))
	if name := r.text(colName); name != "" {
		place.Object = strings.ToLower(r.text(colKind)) + " " + name
	}
	return place
}

// separator accepts the semicolon that spreadsheets write where the comma is
// the decimal mark. It is taken from the header line.
func separator(content []byte) rune {
	head, _, _ := bytes.Cut(content, []byte("\n"))
	if bytes.IndexByte(head, ',') < 0 && bytes.IndexByte(head, ';') >= 0 {
		return ';'
	}
	return ','
}

func invalidLine(content []byte) int {
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
