package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration is how long a case may take.
const maxDuration = 115 * time.Second

// cases has the function of each case by name. It returns whether the rule was broken.
var cases = map[string]func(c run) (bool, error){
	"line-feed": lineFeed,
	"fence":     staleToken,
}

// run has the parameters of one run of a case.
type run struct {
	binary, folder string
	record         *record
	// trouble is false if the disruption is left out.
	trouble bool
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("binary", "target/savoryramp-vm", "the VM's program")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	playCase, found := cases[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "world: no case %q\n", *name)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintf(os.Stderr, "world: %v\n", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	out, err := os.Create(*path)
	if err != nil {
		fmt.Fprintf(os.Stderr, "world: %v\n", err)
		return exitNotRun
	}
	defer out.Close()
	r := &record{out: out, startAt: time.Now()}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxDuration):
		}
		r.printf("the case was stopped")
		killAll()
		os.Exit(exitNotRun)
	}()
	broken, err := playCase(run{binary: *binary, folder: folder, record: r, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		r.printf("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		r.printf("result: the rule was broken")
		return exitBroken
	}
	r.printf("result: the rule held")
	return exitHeld
}
