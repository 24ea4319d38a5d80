// Command turmericmoor runs an entry and gives operators and callers their
// command line.
package main

func main() {}
