package fanout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyhold.example/bramleyhold/internal/ranking"
	"bramleyhold.example/bramleyhold/internal/view"
	"bramleyhold.example/bramleyhold/internal/vm"
	"bramleyhold.example/bramleyhold/internal/zone"
)

// SetMembers gives the live members and says whether the own process leads
// control. The tree follows from the members, so that all nodes with the same
// members agree on it.
func (n *Node) SetMembers(now time.Time, members []view.Member, leader bool) {
	n.leader = leader
	n.controls = n.controls[:0]
	zones := map[zone.ID][]place{}
	for _, m := range members {
		switch {
		case !takesPart(m.Status):
		case m.Role == vm.RoleControl:
			n.controls = append(n.controls, m.VM)
		default:
			zones[m.Zone] = append(zones[m.Zone], place{id: m.VM, agent: m.Role != vm.RoleBalancer})
		}
	}
	slices.Sort(n.controls)
	n.setChildren(now, n.place(zones))
}

// takesPart reports whether a member gets and forwards revisions. A suspected
// member is passed over, because its whole subtree would wait.
func takesPart(s view.Status) bool {
	return s == view.Starting || s == view.Ready || s == view.Leaving
}

// place sets the parent and returns the children.
func (n *Node) place(zones map[zone.ID][]place) []vm.ID {
	n.parent = ""
	if n.config.Control {
		return n.delegates(zones)
	}
	if n.config.Direct {
		return nil
	}
	order := treeOrder(n.config.Zone, zones[n.config.Zone])
	i := slices.Index(order, n.config.Self)
	if i < 0 {
		return nil
	}
	if i > 0 {
		n.parent = order[(i-1)/n.config.Degree]
	}
	first := min(i*n.config.Degree+1, len(order))
	return order[first:min(first+n.config.Degree, len(order))]
}

// delegates returns the roots of all zones, or every node when sending direct.
func (n *Node) delegates(zones map[zone.ID][]place) []vm.ID {
	if !n.leader {
		return nil
	}
	var list []vm.ID
	for z, ids := range zones {
		if n.config.Direct {
			for _, p := range ids {
				list = append(list, p.id)
			}
			continue
		}
		list = append(list, treeOrder(z, ids)[0])
	}
	slices.Sort(list)
	return list
}

// place is a member that gets a place in the tree.
type place struct {
	id    vm.ID
	agent bool
	hash  uint64
}

// treeOrder ranks the members of a zone. The member at position i is the
// parent of those at degree*i+1 to degree*i+degree. Balancers come first,
// because agents spend most of their control budget on load updates.
func treeOrder(z zone.ID, members []place) []vm.ID {
	key := xxhash.Sum64String(z.String())
	for i := range members {
		// Multiplication by an odd number keeps distinct hashes distinct and
		// gives each zone its own order.
		members[i].hash = (ranking.MemberHash(members[i].id) ^ key) * 0x9e3779b97f4a7c15
	}
	slices.SortFunc(members, func(a, b place) int {
		if a.agent != b.agent {
			if b.agent {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.hash, b.hash)
	})
	order := make([]vm.ID, len(members))
	for i := range members {
		order[i] = members[i].id
	}
	return order
}

// child is what is known about one receiver.
type child struct {
	id vm.ID
	// applied and subtree are what it last acknowledged.
	applied, subtree uint64
	// known: it has acknowledged since it became a child.
	known bool
	// sent is the revision that it was last sent, at sentAt, with the bytes
	// that are not acknowledged.
	sent        uint64
	sentAt      time.Time
	outstanding int
	// adopted: it is no child in the tree but has asked directly, and is
	// served until then.
	adopted bool
	until   time.Time
}

func (n *Node) setChildren(now time.Time, ids []vm.ID) {
	var children []*child
	for _, id := range ids {
		c := n.childByID(id)
		if c == nil {
			c = &child{id: id}
		}
		c.adopted = false
		children = append(children, c)
	}
	for _, c := range n.children {
		if c.adopted && now.Before(c.until) && !slices.Contains(ids, c.id) {
			children = append(children, c)
		}
	}
	n.children = children
	n.byID = make(map[vm.ID]*child, len(children))
	for _, c := range children {
		n.byID[c.id] = c
	}
	// The new children hear of their parent at once.
	n.beatAt = now
}

func (n *Node) childByID(id vm.ID) *child { return n.byID[id] }
