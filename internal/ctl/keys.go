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
				Action: a.localAction(initKeys),
			},
			{
				Name: "issue", ArgsUsage: "DIR", Usage: "make the folder with the certificate of one VM or operator",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "role", Usage: "control, balancer, agent or operator"},
					&cli.StringFlag{Name: "vm", Usage: "name of the VM or of the operator"},
					&cli.StringSliceFlag{Name: "address", Usage: "IP address under which others connect to the VM; can be repeated"},
				},
				Action: a.localAction(issueKeys),
			},
			{
				Name: "rotate-frame", ArgsUsage: "DIR", Usage: "stage the next frame key, or activate the staged one",
				Flags:  []cli.Flag{&cli.BoolFlag{Name: "activate", Usage: "seal frames with the staged key"}},
				Action: a.localAction(rotateFrameKeys),
			},
		},
	}
}

func initKeys(in *invocationInput) func(*printer) error {
	dir := in.positionalArgs("DIR")[0]
	return func(out *printer) error {
		if err := keys.InitCluster(dir, time.Now()); err != nil {
			return err
		}
		return out.print(map[string]string{"folder": dir}, func(w io.Writer) {
			printLine(w, "made the cluster CA, the flow hash secret and frame key 1 in %s", dir)
			printLine(w, "keep ca.key offline: whoever has it can act as any VM or operator")
		})
	}
}

func issueKeys(in *invocationInput) func(*printer) error {
	dir := in.positionalArgs("DIR")[0]
	request := keys.CertificateRequest{Role: rpc.Role(in.stringValue("role")), VM: vm.ID(in.stringValue("vm")), Addresses: in.addressList("address")}
	if !request.Role.Valid() {
		in.addError("role", "%q: want control, balancer, agent or operator", request.Role)
	}
	if !vm.ValidName(string(request.VM)) {
		in.addError("vm", "%q: want 1 to %d letters, digits, '.', '_' and '-', with a letter or digit first", request.VM, vm.MaxNameBytes)
	}
	if request.Role != rpc.RoleOperator && len(in.cmd.StringSlice("address")) == 0 {
		in.addError("address", "is required, except for operators")
	}
	return func(out *printer) error {
		issued, err := keys.IssueCertificate(dir, request, time.Now())
		if err != nil {
			return err
		}
		until := issued.NotAfter.UTC().Format(time.RFC3339)
		return out.print(map[string]string{"folder": issued.Folder, "valid_until": until}, func(w io.Writer) {
			printLine(w, "made the certificate of %s %s in %s, valid until %s", request.Role, request.VM, issued.Folder, until)
		})
	}
}

func (in *invocationInput) addressList(name string) []netip.Addr {
	var list []netip.Addr
	for _, text := range in.cmd.StringSlice(name) {
		address, err := netip.ParseAddr(text)
		if err != nil || address.Zone() != "" || address.IsUnspecified() {
			in.addError(name, "%q: want the IP address of a VM", text)
			continue
		}
		list = append(list, address)
	}
	return list
}

// rotationOutput is the output of keys rotate-frame.
type rotationOutput struct {
	Seals   uint8    `json:"seals"`
	Opens   []uint8  `json:"opens"`
	Folders []string `json:"folders"`
	Next    string   `json:"next"`
}

func rotateFrameKeys(in *invocationInput) func(*printer) error {
	dir := in.positionalArgs("DIR")[0]
	rotate, next := keys.StageFrameKey, "copy the folders to their VMs and restart the processes there; then run keys rotate-frame --activate"
	if in.cmd.Bool("activate") {
		rotate, next = keys.ActivateFrameKey, "copy the folders to their VMs and restart the processes there"
	}
	return func(out *printer) error {
		rotation, err := rotate(dir)
		if err != nil {
			return err
		}
		output := rotationOutput{Seals: rotation.Current, Opens: []uint8{rotation.Current, rotation.Other}, Folders: rotation.Folders, Next: next}
		return out.print(output, func(w io.Writer) {
			printLine(w, "key %d seals frames, keys %d and %d open them", rotation.Current, rotation.Current, rotation.Other)
			printLine(w, "updated: %s", orDash(strings.Join(rotation.Folders, " ")))
			printLine(w, "next: %s", next)
		})
	}
}
