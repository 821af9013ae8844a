package load

import "github.com/savoryramp/savoryramp/internal/event"

var (
	eventVMFailed = event.Define(9101, "trial-vm-failed", event.Error,
		"A VM of the trial ended with an error.")
	eventFaultFailed = event.Define(9102, "trial-fault-failed", event.Error,
		"A fault of the scenario could not be brought about or ended.")
	eventWrongAnswer = event.Define(9103, "trial-wrong-answer", event.Error,
		"An answer breaks what savoryramp promises.")
	eventRequestFailed = event.Define(9104, "trial-request-failed", event.Debug,
		"A request was refused or has an unknown outcome.")
)
