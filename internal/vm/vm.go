// Package vm names the machines of a deployment and the processes on them.
package vm

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
