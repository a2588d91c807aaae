// Package nodecmd holds the settings and the wiring that the programs of
// balancers and agents share.
package nodecmd
