// Package node runs one balancer or one agent: it connects the decision core to
// sockets, devices, the membership and the intent feed. It decides nothing
// about packets itself.
package node
