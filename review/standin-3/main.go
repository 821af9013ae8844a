// Command standin-3 plays a case of the review: it starts the program as processes of their own before stand-ins of
// the platform, the servers and the callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(r *record, trouble bool) int{
	"lost":     playLost,
	"memory":   playMemory,
	"settings": playSettings,
	"stuck":    playStuck,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		return failed
	}
	if _, err := os.Stat(program); err != nil {
		fmt.Fprintf(os.Stderr, "%s isn't built: %s\n", program, err)
		return failed
	}
	r, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	endOnSignal(r)
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, disruption %v", arguments[0], trouble)
	code := cases[arguments[0]](r, trouble)
	r.say("exit code %d", code)
	return code
}

// keepLogs is true if the processes' logs stay after the run.
func keepLogs() bool { return os.Getenv("KEEP") == "1" }

// running has the worlds whose processes have to be ended if the run is interrupted.
var running struct {
	sync.Mutex
	worlds []*world
}

// endOnSignal ends all processes when the run is told to end.
func endOnSignal(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.say("interrupted")
		running.Lock()
		for _, w := range running.worlds {
			for _, v := range w.vms {
				v.stop()
			}
		}
		os.Exit(failed)
	}()
}
