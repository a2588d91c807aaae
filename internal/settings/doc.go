// Package settings reads the settings of a program from flags and BRAMLEY_…
// environment variables. All settings are parsed and validated together, and
// one error reports every invalid setting with its name and the reason.
package settings
