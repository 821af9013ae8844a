package load

import "github.com/joomcode/errorx"

var (
	errs = errorx.NewNamespace("load")
	// ErrSetup means that the trial couldn't begin or did nothing.
	ErrSetup = errs.NewType("setup")
	// ErrBroken means that a property was broken: stale reads, lost, doubled or
	// untruly refused writes, or more admitted than a workspace's rate and burst.
	ErrBroken = errs.NewType("broken")
)
