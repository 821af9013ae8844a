// Command standin-2 runs one case of review/REPORT-2.md: it starts VMs as processes before stand-ins of the
// platform, of its servers and of clients, on loopback addresses.
//
// Its exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is the time limit of a case.
const timeLimit = 110 * time.Second

// outcome is what a case has shown.
type outcome struct {
	// broken says how the rule was broken, empty if it held.
	broken string
	// err is why the case couldn't run.
	err error
}

// cases has the cases by name. trouble is false for the run without the disruption.
var cases = map[string]func(w *world, trouble bool) outcome{
	"busy-transaction": busyTransaction,
	"confirmed-commit": confirmedCommit,
	"repeated-answers": repeatedAnswers,
	"route-removed":    routeRemoved,
	"statements-kept":  statementsKept,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit status.
func run(name, path string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "standin-2: there is no case %q\n", name)
		return 2
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return 2
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review-"+filepath.Base(name))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs are in", folder)
	}
	w := &world{record: &record{file: file, began: time.Now()}, folder: folder}
	finished := make(chan outcome, 1)
	go func() { finished <- play(w, trouble) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var o outcome
	select {
	case o = <-finished:
	case s := <-signals:
		o.err = fmt.Errorf("signal %s", s)
	case <-time.After(timeLimit):
		o.err = fmt.Errorf("it takes longer than %s", timeLimit)
	}
	w.end()
	status, verdict := 0, "the rule held"
	switch {
	case o.err != nil:
		status, verdict = 2, "the case couldn't run: "+o.err.Error()
	case o.broken != "":
		status, verdict = 1, "the rule was broken: "+o.broken
	}
	w.record.note("%s", verdict)
	fmt.Println(verdict)
	return status
}
