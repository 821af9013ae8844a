package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are the signals that the process has received and not yet handled.
type signals struct {
	// reload has SIGHUP, terminate SIGTERM or SIGINT. Each holds one; further ones change nothing.
	reload, terminate chan os.Signal
}

// receiveSignals starts to receive the process's signals. Until then a SIGHUP ends the process.
func receiveSignals() signals {
	s := signals{reload: make(chan os.Signal, 1), terminate: make(chan os.Signal, 1)}
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	return s
}
