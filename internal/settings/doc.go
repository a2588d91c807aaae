// Package settings reads the settings of a program from flags and BRAMLEY_…
// environment variables. All settings are parsed and validated together, and
// every invalid one is reported in one answer with its name and reason.
package settings
