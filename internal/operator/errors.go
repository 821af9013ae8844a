package operator

import (
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
)

var (
	errs = errorx.NewNamespace("operator")
	// ErrUsage means that the command line or an environment variable is wrong.
	ErrUsage = errs.NewType("usage")
	// ErrDocument means that the document was refused; nothing was changed.
	ErrDocument = errs.NewType("document")
	// ErrUnreachable means that the platform or a VM gave no usable answer.
	ErrUnreachable = errs.NewType("unreachable")
	// ErrInUse means that an address to listen on is taken.
	ErrInUse = errs.NewType("in-use")
	// ErrKey means that a key, or its workspace, is unknown or there already.
	ErrKey = errs.NewType("key")
	// ErrConflict means that another operator's document was accepted in between.
	ErrConflict = errs.NewType("conflict")
	// ErrFile means that a file named in the settings can't be used.
	ErrFile = errs.NewType("file")
	// ErrBroken means that a part of the daemon failed while it ran.
	ErrFailed = errs.NewType("broken")
)

// exitCode gives the code for the kind of an error.
func exitCode(err error) ExitCode {
	kinds := []struct {
		code  ExitCode
		types []*errorx.Type
	}{
		{ExitUsage, []*errorx.Type{ErrUsage}},
		{ExitDocument, []*errorx.Type{ErrDocument}},
		{ExitUnreachable, []*errorx.Type{ErrUnreachable, platform.ErrUnavailable, platform.ErrOutcomeUnknown}},
		{ExitInUse, []*errorx.Type{ErrInUse}},
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

// line gives the one line that an operator reads, without the error's type.
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
