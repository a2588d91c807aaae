package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/finding"
	"bramleyhold.example/bramleyhold/internal/intent"
	"bramleyhold.example/bramleyhold/internal/inventory"
)

func (a *app) inventoryCommands() *cli.Command {
	return &cli.Command{
		Name: "inventory", Usage: "import or check an export of the asset register", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "import", ArgsUsage: "FILE", Usage: "make an export the inventory", Flags: changeFlags(),
				Action: a.controlAction(importInventory),
			},
			{
				Name: "check", ArgsUsage: "FILE", Usage: "check an export without a control VM",
				Action: a.localAction(checkInventory),
			},
		},
	}
}

func importInventory(in *invocationInput) func(context.Context, *session) error {
	options := in.changeOptions()
	file := in.positionalArgs("FILE")[0]
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		inv, findings, err := readInventory(file)
		if err != nil {
			return err
		}
		if err := s.out.printWarnings(findings); err != nil {
			return err
		}
		return s.propose(ctx, options, nil, intent.Change{Kind: intent.KindInventory, Inventory: inv})
	}
}

// readInventory returns a RejectedError if the file has findings that are
// errors.
func readInventory(file string) (*intent.Inventory, finding.List, error) {
	content, err := readUpTo(file, inventory.MaxBytes)
	if err != nil {
		return nil, finding.List{}, err
	}
	inv, findings := inventory.Parse(file, content)
	if inv == nil {
		return nil, findings, &RejectedError{Reason: "the file is not a valid inventory", Findings: findings}
	}
	return inv, findings, nil
}

// readUpTo reads at most one byte more than maxBytes. The extra byte lets the
// parser recognise an oversize file.
func readUpTo(file string, maxBytes int64) ([]byte, error) {
	opened, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read inventory: %w", err)
	}
	defer func() { _ = opened.Close() }()
	content, err := io.ReadAll(io.LimitReader(opened, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read inventory: %w", err)
	}
	return content, nil
}

// printWarnings writes warnings as text. With JSON it writes nothing: there, only
// the output of inventory check contains the warnings.
func (p *printer) printWarnings(l finding.List) error {
	if p.json {
		return nil
	}
	for _, f := range l.Findings {
		printLine(p.w, "%v", f)
	}
	return nil
}

// checkOutput is the output of inventory check.
type checkOutput struct {
	Machines int               `json:"machines"`
	Services int               `json:"services"`
	Findings []finding.Finding `json:"findings"`
}

func checkInventory(in *invocationInput) func(*printer) error {
	file := in.positionalArgs("FILE")[0]
	return func(out *printer) error {
		inv, findings, err := readInventory(file)
		if err != nil {
			return err
		}
		output := checkOutput{Machines: len(inv.VMs), Services: len(inv.Services), Findings: findings.Findings}
		return out.print(output, func(w io.Writer) {
			_ = out.printWarnings(findings)
			printLine(w, "%s: %d VMs and %d services, no errors", file, output.Machines, output.Services)
		})
	}
}
