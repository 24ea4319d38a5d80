// Command turmericmoor runs entries and nodes, and provides the command line for
// operators and callers.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
