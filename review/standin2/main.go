// Command standin2 plays the scripted cases of the second review. It stands in for the platform,
// the workers and the callers as PROTOCOL.md describes them, and starts the nodes as processes.
//
//	standin2 CASE FOLDER
//
// It writes record.txt to the folder and exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// finding has a text for each break of the rule of the case. others are breaks of other rules, which
// don't count for the exit code.
type finding struct{ breaks, others []string }

func (f *finding) add(format string, args ...any) {
	f.breaks = append(f.breaks, fmt.Sprintf(format, args...))
}

func (f *finding) addOther(format string, args ...any) {
	f.others = append(f.others, fmt.Sprintf(format, args...))
}

var cases = map[string]func(rec *record, root string, trouble bool) (*finding, error){}

// maxTime is the longest that a case may take.
const maxTime = 110 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(maxTime, func() {
		rec.add("the case took too long")
		os.Exit(2)
	})
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case", os.Args[1], "trouble", trouble)
	found, err := cases[os.Args[1]](rec, root, trouble)
	if err != nil {
		rec.add("could not run:", err)
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	for _, o := range found.others {
		rec.add("BESIDES", o)
		fmt.Println("besides:", o)
	}
	for _, b := range found.breaks {
		rec.add("BROKEN", b)
		fmt.Println("broken:", b)
	}
	if len(found.breaks) > 0 {
		os.Exit(1)
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
}
