// Command bramley-dev runs all roles of a fleet in one process.
package main

func main() {}
