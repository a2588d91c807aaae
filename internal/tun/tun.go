// Package tun opens TUN devices as a source and sink of IP packets. It creates the
// device and sets its addresses and routes. It does not parse packets.
package tun

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"

	"github.com/vishvananda/netlink"
	"golang.org/x/sys/unix"
)

// cloneDevicePath is the file that is opened to create or attach to a TUN device.
const cloneDevicePath = "/dev/net/tun"

// Config describes a device.
type Config struct {
	Name string
	// Addresses are assigned to the device with their prefix lengths.
	Addresses []netip.Prefix
	// Routes are the prefixes that are routed into the device.
	Routes []netip.Prefix
	MTU    int
	// Persistent keeps the device when the process ends, and with it the kernel's
	// connections over the device.
	Persistent bool
}

// UnavailableError reports the step at which a TUN device could not be set up.
type UnavailableError struct {
	Step string
	Err  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("TUN device: %s: %v (needs %s and CAP_NET_ADMIN)", e.Step, e.Err, cloneDevicePath)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// Device is an open TUN device. Reads and writes may run concurrently.
type Device struct {
	file *os.File
	link netlink.Link
}

// Open creates the device, or attaches to an existing persistent device of the same
// name. It then configures the device.
func Open(cfg Config) (*Device, error) {
	fd, err := unix.Open(cloneDevicePath, unix.O_RDWR|unix.O_CLOEXEC|unix.O_NONBLOCK, 0)
	if err != nil {
		return nil, &UnavailableError{Step: "open", Err: err}
	}
	if err := attachDevice(fd, cfg); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	device := &Device{file: os.NewFile(uintptr(fd), cloneDevicePath)}
	if err := device.configureLink(cfg); err != nil {
		_ = device.file.Close()
		return nil, err
	}
	return device, nil
}

func attachDevice(fd int, cfg Config) error {
	interfaceRequest, err := unix.NewIfreq(cfg.Name)
	if err != nil {
		return &UnavailableError{Step: "name " + cfg.Name, Err: err}
	}
	interfaceRequest.SetUint16(unix.IFF_TUN | unix.IFF_NO_PI)
	if err := unix.IoctlIfreq(fd, unix.TUNSETIFF, interfaceRequest); err != nil {
		return &UnavailableError{Step: "attach " + cfg.Name, Err: err}
	}
	if !cfg.Persistent {
		return nil
	}
	if err := unix.IoctlSetInt(fd, unix.TUNSETPERSIST, 1); err != nil {
		return &UnavailableError{Step: "make persistent", Err: err}
	}
	return nil
}

func (d *Device) configureLink(cfg Config) error {
	link, err := netlink.LinkByName(cfg.Name)
	if err != nil {
		return &UnavailableError{Step: "find link " + cfg.Name, Err: err}
	}
	d.link = link
	if cfg.MTU > 0 {
		if err := netlink.LinkSetMTU(link, cfg.MTU); err != nil {
			return &UnavailableError{Step: "set MTU", Err: err}
		}
	}
	for _, prefix := range cfg.Addresses {
		if err := netlink.AddrReplace(link, &netlink.Addr{IPNet: toIPNet(prefix)}); err != nil {
			return &UnavailableError{Step: "add address " + prefix.String(), Err: err}
		}
	}
	if err := netlink.LinkSetUp(link); err != nil {
		return &UnavailableError{Step: "set up", Err: err}
	}
	for _, prefix := range cfg.Routes {
		if err := d.AddRoute(prefix); err != nil {
			return err
		}
	}
	return nil
}

func toIPNet(p netip.Prefix) *net.IPNet {
	return &net.IPNet{IP: p.Addr().AsSlice(), Mask: net.CIDRMask(p.Bits(), p.Addr().BitLen())}
}

// AddRoute adds a route that sends packets for the prefix into the device.
func (d *Device) AddRoute(prefix netip.Prefix) error {
	route := &netlink.Route{LinkIndex: d.link.Attrs().Index, Dst: toIPNet(prefix.Masked()), Scope: netlink.SCOPE_LINK}
	if prefix.Addr().Is6() {
		route.Scope = netlink.SCOPE_UNIVERSE
	}
	if err := netlink.RouteReplace(route); err != nil {
		return &UnavailableError{Step: "add route " + prefix.String(), Err: err}
	}
	return nil
}

// DeleteRoute removes a route that AddRoute added. A missing route is no error.
func (d *Device) DeleteRoute(prefix netip.Prefix) error {
	route := &netlink.Route{LinkIndex: d.link.Attrs().Index, Dst: toIPNet(prefix.Masked())}
	if err := netlink.RouteDel(route); err != nil && !errors.Is(err, unix.ESRCH) {
		return fmt.Errorf("delete route %s: %w", prefix, err)
	}
	return nil
}

// ReadPacket reads one IP packet.
func (d *Device) ReadPacket(b []byte) (int, error) { return d.file.Read(b) }

// WritePacket passes one IP packet to the kernel.
func (d *Device) WritePacket(b []byte) error {
	_, err := d.file.Write(b)
	return err
}

// Close detaches from the device. The kernel deletes it unless it is persistent.
func (d *Device) Close() error { return d.file.Close() }

// Remove deletes a persistent device by its name. A missing device is no error.
func Remove(name string) error {
	link, err := netlink.LinkByName(name)
	if err != nil {
		var missing netlink.LinkNotFoundError
		if errors.As(err, &missing) {
			return nil
		}
		return fmt.Errorf("find link %s: %w", name, err)
	}
	if err := netlink.LinkDel(link); err != nil {
		return fmt.Errorf("delete link %s: %w", name, err)
	}
	return nil
}
