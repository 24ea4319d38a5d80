// Command standin3 plays a small deployment around processes of the system: the platform, the
// workers and the callers are stand-ins that follow the users' pages.
//
//	standin3 SCENARIO RECORD NODE_PROGRAM
//
// It exits with 1 if the rule of the scenario was broken, with 0 if it held and with 2 if the
// scenario could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

var trouble = os.Getenv("TROUBLE") != "0"

const cannotRun = 2

var scenarios = map[string]func(*world) int{
	"late": playLate, "memory": playMemory, "stale": playStale, "wave": playWave, "relocate": playRelocate,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: standin3 SCENARIO RECORD NODE_PROGRAM")
		return cannotRun
	}
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer w.close()
	return scenarios[os.Args[1]](w)
}
