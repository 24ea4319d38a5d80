// Command standin plays one case of the review: it starts the nodes as separate processes
// and stands in for the platform, the workers and the callers, as PROTOCOL.md says. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases play a case. They report whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){}

func main() {
	// The nodes end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		os.Exit(2)
	case broken:
		rec.add("the rule was broken")
		os.Exit(1)
	}
	rec.add("the rule held")
}
