package main

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventWrong = event.Define(9001, "wrong-answer", event.Error,
		"An answer breaks what savoryramp promises.")
	eventRefused = event.Define(9002, "refused", event.Warn,
		"A statement was refused or its outcome is unknown.")
)
