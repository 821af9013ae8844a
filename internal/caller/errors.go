package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

var (
	errs = errorx.NewNamespace("caller")
	// ErrProtocol means that the caller sent what the protocol doesn't allow here.
	ErrProtocol = errs.NewType("protocol")
	// ErrAuthentication means that the key is unknown, wrong or withdrawn.
	ErrAuthentication = errs.NewType("authentication")
	// ErrNoDatabase means that the database isn't one that the key may use.
	ErrNoDatabase = errs.NewType("no-database")
	// ErrNotReady means that the VM has no document yet, or is shutting down.
	ErrNotReady = errs.NewType("not-ready")
	// ErrRate means that the workspace's rate and burst are used up.
	ErrRate = errs.NewType("rate", upstream.NotExecuted)
	// ErrSetting means that a savoryramp setting has a value it can't take.
	ErrSetting = errs.NewType("setting", upstream.NotExecuted)
	// ErrToken means that a session token can't be verified.
	ErrToken = errs.NewType("token")
	// ErrTransactionLost means that the server was lost before the commit was sent.
	ErrTransactionLost = errs.NewType("transaction-lost", upstream.NotExecuted)
	// ErrUnsupported means that the statement needs a part of the protocol that is
	// not passed through.
	ErrUnsupported = errs.NewType("unsupported", upstream.NotExecuted)
	// ErrUnknownOutcome means that a write was sent and may or may not have run.
	ErrUnknownOutcome = errs.NewType("unknown-outcome")
	// ErrCut means that sessions were broken off at the end of a drain.
	ErrCut = errs.NewType("cut")
	// errStale means that a server's data are older than the session's floor.
	errStale = errs.NewType("stale", upstream.NotExecuted)
	// errReadOnly means that a server refused to write; nothing has run.
	errReadOnly = errs.NewType("read-only", upstream.NotExecuted)
	// errCaller means that the caller's connection ended.
	errCaller = errs.NewType("caller")
)

// Code is an SQLSTATE.
type Code string

// The SQLSTATEs of savoryramp's own errors; docs/OPERATIONS.md says what each
// means to a caller.
const (
	CodeProtocol       Code = "08P01"
	CodeConnection     Code = "08006"
	CodeUnknownOutcome Code = "08007"
	CodePassword       Code = "28P01"
	CodeAuthorization  Code = "28000"
	CodeNoDatabase     Code = "3D000"
	CodeUnsupported    Code = "0A000"
	CodeReadOnly       Code = "25006"
	CodeFailed         Code = "25P02"
	CodeFloorLost      Code = "40001"
	CodeBusy           Code = "53300"
	CodeRate           Code = "53400"
	CodeSetting        Code = "22023"
	CodeShutdown       Code = "57P01"
	CodeNotReady       Code = "57P03"
)

// codes gives the SQLSTATE of each type of failure.
var codes = map[*errorx.Type]Code{
	ErrProtocol:             CodeProtocol,
	ErrAuthentication:       CodePassword,
	ErrNoDatabase:           CodeNoDatabase,
	ErrNotReady:             CodeNotReady,
	ErrRate:                 CodeRate,
	ErrSetting:              CodeSetting,
	ErrTransactionLost:      CodeConnection,
	ErrUnsupported:          CodeUnsupported,
	ErrUnknownOutcome:       CodeUnknownOutcome,
	errReadOnly:             CodeReadOnly,
	errStale:                CodeBusy,
	upstream.ErrNoServer:    CodeBusy,
	upstream.ErrBusy:        CodeBusy,
	upstream.ErrConnect:     CodeBusy,
	upstream.ErrNoQuorum:    CodeBusy,
	upstream.ErrFloorLost:   CodeFloorLost,
	upstream.ErrUnconfirmed: CodeUnknownOutcome,
	upstream.ErrSilent:      CodeConnection,
	upstream.ErrBroken:      CodeConnection,
}

const (
	hintNotRun  = "not run"
	hintUnknown = "outcome unknown: the statement may have run"
)

// response makes the error message that a caller gets.
func response(severity string, err error) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: string(CodeConnection), Message: "savoryramp: " + err.Error(),
	}
	if e := errorx.Cast(err); e != nil {
		if code, found := codes[e.Type()]; found {
			m.Code = string(code)
		}
		m.Message = "savoryramp: " + e.Error()
	}
	switch {
	case errorx.HasTrait(err, upstream.NotExecuted):
		m.Detail = hintNotRun
	case m.Code == string(CodeUnknownOutcome):
		m.Detail = hintUnknown
	}
	return m
}

func isType(err error, t *errorx.Type) bool { return errorx.IsOfType(err, t) }
