// Command rig2 plays the cases of the second review on real processes of the system.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) < 4 {
		fmt.Println("usage: rig2 CASE BINARY RECORD")
		os.Exit(exitCannotRun)
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		cannotRun("%v", err)
	}
	if recordFile, err = os.Create(os.Args[3]); err != nil {
		cannotRun("%v", err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		cannotRun("%v", err)
	}
	if _, err := os.Stat(binary); err != nil {
		cannotRun("the system is not built: %v", err)
	}
	s := newSystem(binary, dir, 3, 3)
	cleanUp = func() {
		s.stopAll()
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		cannotRun("interrupted")
	}()
	time.AfterFunc(117*time.Second, func() { cannotRun("no result in time") })
	w := &world{jobs: map[string]*job{}, tasks: map[string]*taskHistory{}, saves: map[string]save{}}
	w.control = func() []string {
		var list []string
		for _, d := range s.controllers {
			list = append(list, d.control)
		}
		return list
	}
	c := &client{w, s}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	play(s, w, c)
	cleanUp()
	w.mu.Lock()
	broken := w.violations
	w.mu.Unlock()
	for _, v := range broken {
		fmt.Println("broken:", v)
	}
	if len(broken) > 0 {
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	record("the rule held")
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var cases = map[string]func(*system, *world, *client){}
