package ctl

import (
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"bramleyhold.example/bramleyhold/internal/keys"
	"bramleyhold.example/bramleyhold/internal/rpc"
	"bramleyhold.example/bramleyhold/internal/vm"
)

func (a *app) keysCommands() *cli.Command {
	return &cli.Command{
		Name: "keys", Usage: "make the keys of a cluster", Action: unknownCommand,
		Commands: []*cli.Command{
			{
				Name: "init", ArgsUsage: "DIR", Usage: "make the cluster CA and the first frame key",
				Action: a.offline(initKeys),
			},
			{
				Name: "issue", ArgsUsage: "DIR", Usage: "make the folder of one VM or operator",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "role", Usage: "control, balancer, agent or operator"},
					&cli.StringFlag{Name: "vm", Usage: "name of the VM or of the operator"},
					&cli.StringSliceFlag{Name: "address", Usage: "IP address under which others connect to the VM; can be repeated"},
				},
				Action: a.offline(issueKeys),
			},
			{
				Name: "rotate-frame", ArgsUsage: "DIR", Usage: "stage the next frame key, or activate the staged one",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "activate", Usage: "seal frames with the staged key"}},
				Action: a.offline(rotateFrameKeys),
			},
		},
	}
}

func initKeys(in *input) func(*printer) error {
	dir := in.args("DIR")[0]
	return func(out *printer) error {
		if err := keys.Init(dir, time.Now()); err != nil {
			return err
		}
		return out.show(map[string]string{"folder": dir}, func(w io.Writer) {
			line(w, "made the cluster CA, the flow hash secret and frame key 1 in %s", dir)
			line(w, "keep ca.key offline: who has it can act as any VM or operator")
		})
	}
}

func issueKeys(in *input) func(*printer) error {
	dir := in.args("DIR")[0]
	request := keys.Request{Role: rpc.Role(in.text("role")), VM: vm.ID(in.text("vm")), Addresses: in.addresses("address")}
	if !request.Role.Valid() {
		in.fail("role", "%q: want control, balancer, agent or operator", request.Role)
	}
	if !vm.ValidName(string(request.VM)) {
		in.fail("vm", "%q: want 1 to %d letters, digits, '.', '_' and '-', with a letter or digit first", request.VM, vm.MaxNameBytes)
	}
	if request.Role != rpc.RoleOperator && len(in.cmd.StringSlice("address")) == 0 {
		in.fail("address", "is required, except for operators")
	}
	return func(out *printer) error {
		issued, err := keys.Issue(dir, request, time.Now())
		if err != nil {
			return err
		}
		until := issued.NotAfter.UTC().Format(time.RFC3339)
		return out.show(map[string]string{"folder": issued.Folder, "valid_until": until}, func(w io.Writer) {
			line(w, "made the certificate of %s %s in %s, valid until %s", request.Role, request.VM, issued.Folder, until)
		})
	}
}

func (in *input) addresses(name string) []netip.Addr {
	var list []netip.Addr
	for _, text := range in.cmd.StringSlice(name) {
		address, err := netip.ParseAddr(text)
		if err != nil || address.Zone() != "" || address.IsUnspecified() {
			in.fail(name, "%q: want the IP address of a VM", text)
			continue
		}
		list = append(list, address)
	}
	return list
}

// rotationAnswer is what keys rotate-frame shows.
type rotationAnswer struct {
	Seals   uint8    `json:"seals"`
	Opens   []uint8  `json:"opens"`
	Folders []string `json:"folders"`
	Next    string   `json:"next"`
}

func rotateFrameKeys(in *input) func(*printer) error {
	dir := in.args("DIR")[0]
	step, next := keys.StageFrameKey, "copy the folders to their VMs and restart the processes there; then run keys rotate-frame --activate"
	if in.cmd.Bool("activate") {
		step, next = keys.ActivateFrameKey, "copy the folders to their VMs and restart the processes there"
	}
	return func(out *printer) error {
		r, err := step(dir)
		if err != nil {
			return err
		}
		answer := rotationAnswer{Seals: r.Current, Opens: []uint8{r.Current, r.Other}, Folders: r.Folders, Next: next}
		return out.show(answer, func(w io.Writer) {
			line(w, "key %d seals frames, keys %d and %d open them", r.Current, r.Current, r.Other)
			line(w, "updated: %s", orDash(strings.Join(r.Folders, " ")))
			line(w, "next: %s", next)
		})
	}
}
