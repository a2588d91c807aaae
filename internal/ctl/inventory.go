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
				Action: a.online(importInventory),
			},
			{
				Name: "check", ArgsUsage: "FILE", Usage: "check an export without a control VM",
				Action: a.offline(checkInventory),
			},
		},
	}
}

func importInventory(in *input) func(context.Context, *session) error {
	o := in.changeOptions()
	file := in.args("FILE")[0]
	return func(ctx context.Context, s *session) error {
		ctx, cancel := s.withTimeout(ctx)
		defer cancel()
		inv, findings, err := readInventory(file)
		if err != nil {
			return err
		}
		if err := s.out.warn(findings); err != nil {
			return err
		}
		return s.propose(ctx, o, nil, intent.Change{Kind: intent.KindInventory, Inventory: inv})
	}
}

// readInventory returns a RejectedError if the file has errors.
func readInventory(file string) (*intent.Inventory, finding.List, error) {
	content, err := readBounded(file, inventory.MaxBytes)
	if err != nil {
		return nil, finding.List{}, err
	}
	inv, findings := inventory.Parse(file, content)
	if inv == nil {
		return nil, findings, &RejectedError{Reason: "the file is not a valid inventory", List: findings}
	}
	return inv, findings, nil
}

// readBounded reads one byte more than the bound, by which the parser
// recognises an oversize file.
func readBounded(file string, bound int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("read inventory: %w", err)
	}
	defer func() { _ = f.Close() }()
	content, err := io.ReadAll(io.LimitReader(f, bound+1))
	if err != nil {
		return nil, fmt.Errorf("read inventory: %w", err)
	}
	return content, nil
}

// warn writes warnings as text. With JSON they are part of the answer of
// inventory check only.
func (p *printer) warn(l finding.List) error {
	if p.json {
		return nil
	}
	for _, f := range l.Findings {
		line(p.w, "%v", f)
	}
	return nil
}

// checkAnswer is what inventory check shows.
type checkAnswer struct {
	Machines int               `json:"machines"`
	Services int               `json:"services"`
	Findings []finding.Finding `json:"findings"`
}

func checkInventory(in *input) func(*printer) error {
	file := in.args("FILE")[0]
	return func(out *printer) error {
		inv, findings, err := readInventory(file)
		if err != nil {
			return err
		}
		answer := checkAnswer{Machines: len(inv.Machines), Services: len(inv.Services), Findings: findings.Findings}
		return out.show(answer, func(w io.Writer) {
			_ = out.warn(findings)
			line(w, "%s: %d VMs and %d services, no errors", file, answer.Machines, answer.Services)
		})
	}
}
