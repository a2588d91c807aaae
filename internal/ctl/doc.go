// Package ctl implements the commands of bramleyctl. docs/bramleyctl.md
// describes the commands, their exit codes and their errors.
package ctl
