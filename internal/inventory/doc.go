// Package inventory reads the CSV export of an asset register into an
// intent.Inventory. Every problem is a finding with its line and column. All
// findings of a file are reported together. docs/inventory.md describes the
// columns and the findings.
package inventory
