// Command rig3 plays the cases of the third review. It starts the system's daemons as separate processes on
// loopback addresses, and holds the stand-ins of clients, workers and the platform.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: rig3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no case", os.Args[1])
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	r := &record{file: file, began: time.Now()}
	code := play(r, os.Getenv("TROUBLE") != "0")
	file.Close()
	os.Exit(code)
}

var cases = map[string]func(r *record, trouble bool) int{}
