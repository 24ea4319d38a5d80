// Command turmericmoor runs an entry and gives operators and callers their
// command line.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
