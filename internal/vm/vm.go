// Package vm names the machines of a deployment and the processes on them.
package vm

import "strings"

// MaxNameBytes bounds names. The common name of a certificate has at most 64
// bytes.
const MaxNameBytes = 63

// ValidName reports whether a text can be the name of a VM: letters, digits,
// '.', '_' and '-', with a letter or digit first. Such a name is also safe as
// the name of a folder.
func ValidName(text string) bool {
	if text == "" || len(text) > MaxNameBytes {
		return false
	}
	for i := range len(text) {
		c := text[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("._-", rune(c))) {
			return false
		}
	}
	return true
}

// ID is the name of a VM in the asset register.
type ID string

// Incarnation tells successive lives of the process on one VM apart. A later
// life has a greater number.
type Incarnation uint64

// Role says what a VM does in the deployment.
type Role string

// The roles of a VM.
const (
	RoleBalancer Role = "balancer"
	RoleUpstream Role = "upstream"
	RoleControl  Role = "control"
)

// Valid reports whether the role is one of the known roles.
func (r Role) Valid() bool {
	switch r {
	case RoleBalancer, RoleUpstream, RoleControl:
		return true
	}
	return false
}
