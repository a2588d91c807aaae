package steering

import "bramleyhold.example/bramleyhold/internal/service"

// ServiceTag identifies a service in forwarding headers: serviceTagBits of a hash of its
// name. The lowest shortTagBits are the whole tag of earlier builds.
type ServiceTag uint64

const (
	// serviceTagBits is the size of a tag. Among 10,000 services, two with the same tag
	// have a probability of one in five million.
	serviceTagBits = 48
	shortTagBits   = 16

	serviceTagMask = 1<<serviceTagBits - 1
	shortTagMask   = 1<<shortTagBits - 1
)

// NewServiceTag returns the tag of a service.
func NewServiceTag(name service.Name) ServiceTag {
	tag := ServiceTag(hashName(string(name)) & serviceTagMask)
	if tag.isShort() {
		tag |= 1 << shortTagBits
	}
	return tag
}

// isShort reports whether the tag comes from an earlier build.
func (t ServiceTag) isShort() bool { return t&^shortTagMask == 0 }

// matches reports whether the tag of a forwarding header may name the service with the
// given tag.
func (t ServiceTag) matches(own ServiceTag) bool {
	if t.isShort() {
		return t == own&shortTagMask
	}
	return t == own
}
