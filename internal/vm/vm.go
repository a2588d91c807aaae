// Package vm defines the names and roles of the VMs of a deployment, and the
// incarnations of their processes.
package vm

import "strings"

// MaxNameBytes is the maximum length of a VM name. Names are used as the common name
// of certificates, which has at most 64 bytes.
const MaxNameBytes = 63

// ValidName reports whether a text is a valid VM name. A name consists of letters,
// digits, '.', '_' and '-', and starts with a letter or digit. So it is also safe as
// the name of a folder.
func ValidName(text string) bool {
	if text == "" || len(text) > MaxNameBytes {
		return false
	}
	for i := range len(text) {
		char := text[i]
		alphanumeric := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(char))) {
			return false
		}
	}
	return true
}

// ID is the name of a VM in the asset register.
type ID string

// Incarnation distinguishes successive runs of a process on one VM. For the replica
// of a control process it distinguishes successive lifetimes of its disk. A later
// run or lifetime has a greater number.
type Incarnation uint64

// Role is the function of a VM in the deployment.
type Role string

// The roles of a VM.
const (
	RoleBalancer Role = "balancer"
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
)

// Valid reports whether the role is one of the constants above.
func (r Role) Valid() bool {
	switch r {
	case RoleBalancer, RoleUpstream, RoleControl:
		return true
	}
	return false
}
