package operator

import (
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
)

var (
	errs = errorx.NewNamespace("operator")
	// ErrUsage means that the command line or an environment variable is invalid.
	ErrUsage = errs.NewType("usage")
	// ErrDocument means that the document was refused; nothing was changed.
	ErrDocument = errs.NewType("document")
	// ErrUnreachable means that the platform or a VM gave no usable answer.
	ErrUnreachable = errs.NewType("unreachable")
	// ErrListen means that a listener can't be opened, usually because its address is in use
	// or doesn't belong to this VM.
	ErrListen = errs.NewType("in-use")
	// ErrKey means that a key or its workspace doesn't exist, or that the key already exists.
	ErrKey = errs.NewType("key")
	// ErrConflict means that another operator's document was accepted first.
	ErrConflict = errs.NewType("conflict")
	// ErrFile means that a file named on the command line can't be read or has invalid content.
	ErrFile = errs.NewType("file")
	// ErrFailed means that a component of the daemon failed at run time.
	ErrFailed = errs.NewType("broken")
)

// exitCode returns the exit code for an error.
func exitCode(err error) ExitCode {
	kinds := []struct {
		code  ExitCode
		types []*errorx.Type
	}{
		{ExitUsage, []*errorx.Type{ErrUsage}},
		{ExitDocument, []*errorx.Type{ErrDocument}},
		{ExitUnreachable, []*errorx.Type{ErrUnreachable, platform.ErrUnavailable, platform.ErrOutcomeUnknown}},
		{ExitInUse, []*errorx.Type{ErrListen}},
		{ExitKey, []*errorx.Type{ErrKey}},
		{ExitConflict, []*errorx.Type{ErrConflict, platform.ErrConflict}},
		{ExitFile, []*errorx.Type{ErrFile}},
	}
	if err == nil {
		return ExitOK
	}
	for _, k := range kinds {
		for _, t := range k.types {
			if errorx.IsOfType(err, t) {
				return k.code
			}
		}
	}
	return ExitFailed
}

// errorLine returns the error as one line for operators, without the error's type.
func errorLine(err error) string {
	e := errorx.Cast(err)
	if e == nil || e.Message() == "" {
		return err.Error()
	}
	if e.Cause() == nil {
		return e.Message()
	}
	return e.Message() + ": " + rootCause(e.Cause())
}
