// Package nodecmd holds the settings and the dependency injection that the programs
// of balancers and agents share.
package nodecmd
