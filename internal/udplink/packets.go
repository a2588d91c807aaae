package udplink

import "net/netip"

// PacketSource is a source and sink of IP packets, which are the payload of UDP
// datagrams. It replaces a TUN device in tests and in processes without privileges.
type PacketSource struct {
	link *Link
	sink netip.AddrPort
}

// OpenPackets binds the address that receives IP packets. Written packets are sent
// to sink.
func OpenPackets(address, sink netip.AddrPort) (*PacketSource, error) {
	link, err := Open(address)
	if err != nil {
		return nil, err
	}
	return &PacketSource{link: link, sink: sink}, nil
}

// Address returns the bound address.
func (p *PacketSource) Address() netip.AddrPort { return p.link.Address() }

// ReadPacket reads one IP packet.
func (p *PacketSource) ReadPacket(b []byte) (int, error) {
	n, _, err := p.link.conn.ReadFromUDPAddrPort(b)
	return n, err
}

// ReceiveBatch reads at least one IP packet.
func (p *PacketSource) ReceiveBatch(b *Batch) error { return p.link.Receive(b) }

// WritePacket sends one IP packet to the sink.
func (p *PacketSource) WritePacket(b []byte) error { return p.link.Send(b, p.sink) }

// Close closes the socket, which unblocks all reads.
func (p *PacketSource) Close() error { return p.link.Close() }
