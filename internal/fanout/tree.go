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

// SetMembers sets the members and whether the local process is the control leader.
// The tree depends only on the members. All nodes with the same members therefore
// compute the same tree.
func (n *Node) SetMembers(now time.Time, members []view.Member, leader bool) {
	n.isLeader = leader
	n.controlReplicas = n.controlReplicas[:0]
	membersByZone := map[zone.ID][]treeMember{}
	for _, m := range members {
		switch {
		case !belongsToTree(m.Status):
		case m.Role == vm.RoleControl:
			n.controlReplicas = append(n.controlReplicas, m.VM)
		default:
			membersByZone[m.Zone] = append(membersByZone[m.Zone], treeMember{id: m.VM, isAgent: m.Role != vm.RoleBalancer})
		}
	}
	slices.Sort(n.controlReplicas)
	n.replaceChildren(now, n.updateTreePosition(membersByZone))
}

// belongsToTree reports whether a member receives and forwards revisions. Suspected
// members are left out, because their whole subtree would wait for them.
func belongsToTree(status view.Status) bool {
	return status == view.Starting || status == view.Ready || status == view.Leaving
}

// updateTreePosition sets the parent and returns the children.
func (n *Node) updateTreePosition(membersByZone map[zone.ID][]treeMember) []vm.ID {
	n.parent = ""
	if n.config.IsControlReplica {
		return n.leaderChildren(membersByZone)
	}
	if n.config.SendDirect {
		return nil
	}
	order := rankTreeMembers(n.config.Zone, membersByZone[n.config.Zone])
	position := slices.Index(order, n.config.Self)
	if position < 0 {
		return nil
	}
	if position > 0 {
		n.parent = order[(position-1)/n.config.TreeDegree]
	}
	firstChild := min(position*n.config.TreeDegree+1, len(order))
	return order[firstChild:min(firstChild+n.config.TreeDegree, len(order))]
}

// leaderChildren returns the children of the control leader: the root of each zone,
// or every node if Config.SendDirect is set.
func (n *Node) leaderChildren(membersByZone map[zone.ID][]treeMember) []vm.ID {
	if !n.isLeader {
		return nil
	}
	var targets []vm.ID
	for z, members := range membersByZone {
		if n.config.SendDirect {
			for _, member := range members {
				targets = append(targets, member.id)
			}
			continue
		}
		targets = append(targets, rankTreeMembers(z, members)[0])
	}
	slices.Sort(targets)
	return targets
}

// treeMember is a member of the tree. Members are ordered by isAgent, then hash.
type treeMember struct {
	id      vm.ID
	isAgent bool
	hash    uint64
}

// rankTreeMembers returns the members of a zone in tree order. The member at
// position i is the parent of those at positions degree*i+1 to degree*i+degree.
// Balancers come first, because agents spend most of their control budget on load
// updates.
func rankTreeMembers(z zone.ID, members []treeMember) []vm.ID {
	zoneHash := xxhash.Sum64String(z.String())
	for i := range members {
		// Multiplication by an odd number keeps distinct hashes distinct. With the
		// zone hash it gives each zone a different order.
		members[i].hash = (ranking.MemberHash(members[i].id) ^ zoneHash) * 0x9e3779b97f4a7c15
	}
	slices.SortFunc(members, func(a, b treeMember) int {
		if a.isAgent != b.isAgent {
			if b.isAgent {
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

// child holds the progress of one receiver of updates.
type child struct {
	id vm.ID
	// appliedRevision and subtreeRevision are from the last acknowledgement.
	appliedRevision, subtreeRevision uint64
	// hasAcked reports whether the acknowledged revisions are usable. It is reset
	// when an update is held back until the child has reported its revision.
	hasAcked bool
	// sentRevision is the revision of the last update, sent at sentAt.
	// unackedBytes is its size until it is acknowledged.
	sentRevision uint64
	sentAt       time.Time
	unackedBytes int
	// adopted marks a node that is not a child in the tree. It sent a pull and
	// receives updates until adoptedUntil.
	adopted      bool
	adoptedUntil time.Time
}

// replaceChildren sets the children of the tree. It keeps the progress of nodes that
// were children before, and adopted nodes until their adoption ends.
func (n *Node) replaceChildren(now time.Time, ids []vm.ID) {
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
		if c.adopted && now.Before(c.adoptedUntil) && !slices.Contains(ids, c.id) {
			children = append(children, c)
		}
	}
	n.children = children
	n.childrenByID = make(map[vm.ID]*child, len(children))
	for _, c := range children {
		n.childrenByID[c.id] = c
	}
	// New children receive a heartbeat of their parent on the next tick.
	n.nextHeartbeatAt = now
}

func (n *Node) childByID(id vm.ID) *child { return n.childrenByID[id] }
