package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/upstream"
)

var (
	errs = errorx.NewNamespace("caller")
	// ErrProtocol means that the caller violated the protocol.
	ErrProtocol = errs.NewType("protocol")
	// ErrAuthentication means that the key is unknown, wrong or withdrawn.
	ErrAuthentication = errs.NewType("authentication")
	// ErrNoDatabase means that the database doesn't exist or that the key may not use
	// it.
	ErrNoDatabase = errs.NewType("no-database")
	// ErrNotReady means that the VM has no document yet, may not rely on it, or is
	// shutting down.
	ErrNotReady = errs.NewType("not-ready")
	// ErrRateLimited means that the workspace has used up its rate and burst.
	ErrRateLimited = errs.NewType("rate", upstream.NotExecuted)
	// ErrInvalidSetting means that a savoryramp setting is unknown or its value is
	// invalid.
	ErrInvalidSetting = errs.NewType("setting", upstream.NotExecuted)
	// ErrInvalidToken means that a session token can't be verified.
	ErrInvalidToken = errs.NewType("token")
	// ErrTransactionLost means that the server connection failed before the
	// transaction's commit was sent.
	ErrTransactionLost = errs.NewType("transaction-lost", upstream.NotExecuted)
	// ErrUnsupported means that the proxy doesn't support a statement or a part of the
	// protocol.
	ErrUnsupported = errs.NewType("unsupported", upstream.NotExecuted)
	// ErrUnknownOutcome means that a write was sent and may or may not have run.
	ErrUnknownOutcome = errs.NewType("unknown-outcome")
	// ErrOverLimit means that there is no memory for a message, or for what a session keeps.
	ErrOverLimit = errs.NewType("over-limit", upstream.NotExecuted)
	// ErrDrainTimeout means that sessions were still open when the time for draining
	// ended.
	ErrDrainTimeout = errs.NewType("cut")
	// errBelowFloor means that a server hasn't reached the session's floor.
	errBelowFloor = errs.NewType("stale", upstream.NotExecuted)
	// errReadOnly means that a server rejected a write in a read-only transaction;
	// nothing was changed.
	errReadOnly = errs.NewType("read-only", upstream.NotExecuted)
	// errCallerGone means that the caller's connection ended.
	errCallerGone = errs.NewType("caller")
)

// SQLState is the five-character code of an error (SQLSTATE).
type SQLState string

// The SQLSTATEs of the proxy's own errors. docs/OPERATIONS.md describes what each means
// to a caller.
const (
	CodeProtocolViolation            SQLState = "08P01"
	CodeConnectionFailure            SQLState = "08006"
	CodeTransactionResolutionUnknown SQLState = "08007"
	CodeInvalidPassword              SQLState = "28P01"
	CodeInvalidAuthorization         SQLState = "28000"
	CodeInvalidCatalogName           SQLState = "3D000"
	CodeFeatureNotSupported          SQLState = "0A000"
	CodeReadOnlyTransaction          SQLState = "25006"
	CodeInFailedTransaction          SQLState = "25P02"
	CodeSerializationFailure         SQLState = "40001"
	CodeOutOfMemory                  SQLState = "53200"
	CodeTooManyConnections           SQLState = "53300"
	CodeConfigurationLimitExceeded   SQLState = "53400"
	CodeInvalidParameterValue        SQLState = "22023"
	CodeAdminShutdown                SQLState = "57P01"
	CodeCannotConnectNow             SQLState = "57P03"
)

// sqlStates maps error types to their SQLSTATE.
var sqlStates = map[*errorx.Type]SQLState{
	ErrProtocol:             CodeProtocolViolation,
	ErrAuthentication:       CodeInvalidPassword,
	ErrNoDatabase:           CodeInvalidCatalogName,
	ErrNotReady:             CodeCannotConnectNow,
	ErrRateLimited:          CodeConfigurationLimitExceeded,
	ErrInvalidSetting:       CodeInvalidParameterValue,
	ErrTransactionLost:      CodeConnectionFailure,
	ErrOverLimit:            CodeOutOfMemory,
	ErrUnsupported:          CodeFeatureNotSupported,
	ErrUnknownOutcome:       CodeTransactionResolutionUnknown,
	errReadOnly:             CodeReadOnlyTransaction,
	errBelowFloor:           CodeTooManyConnections,
	upstream.ErrNoServer:    CodeTooManyConnections,
	upstream.ErrBusy:        CodeTooManyConnections,
	upstream.ErrConnect:     CodeTooManyConnections,
	upstream.ErrNoQuorum:    CodeTooManyConnections,
	upstream.ErrFloorLost:   CodeSerializationFailure,
	upstream.ErrUnconfirmed: CodeTransactionResolutionUnknown,
	upstream.ErrSilent:      CodeConnectionFailure,
	upstream.ErrBroken:      CodeConnectionFailure,
}

const (
	detailNotRun  = "not run"
	detailUnknown = "outcome unknown: the statement may have run"
)

// errorResponse builds the ErrorResponse message for an error.
func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	m := &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: string(CodeConnectionFailure), Message: "savoryramp: " + err.Error(),
	}
	if e := errorx.Cast(err); e != nil {
		if code, found := sqlStates[e.Type()]; found {
			m.Code = string(code)
		}
		m.Message = "savoryramp: " + e.Error()
	}
	switch {
	case errorx.HasTrait(err, upstream.NotExecuted):
		m.Detail = detailNotRun
	case m.Code == string(CodeTransactionResolutionUnknown):
		m.Detail = detailUnknown
	}
	return m
}

func isType(err error, t *errorx.Type) bool { return errorx.IsOfType(err, t) }
