package fakeupstream

import (
	"context"
	"strings"

	"github.com/joomcode/errorx"
	"modernc.org/sqlite"
)

var (
	errs = errorx.NewNamespace("fakeupstream")
	// ErrState means that a role or term doesn't allow what was asked.
	ErrState = errs.NewType("state")
	// ErrEnded means that a wait ended with its context.
	ErrEnded = errs.NewType("ended")
	// ErrEngine means that the database engine failed.
	ErrEngine = errs.NewType("engine")
	// ErrFault means that a fault was asked for in a wrong way.
	ErrFault = errs.NewType("fault")
	// ErrStatement is an error that the client is told, with a SQLSTATE.
	ErrStatement = errs.NewType("statement")

	sqlState = errorx.RegisterProperty("sqlstate")
)

// SQLState is a code of PostgreSQL's appendix A.
type SQLState string

// The codes that servers answer with.
const (
	stateReadOnly         SQLState = "25006"
	stateFailed           SQLState = "25P02"
	stateActive           SQLState = "25001"
	stateNoTransaction    SQLState = "25P01"
	stateNotReady         SQLState = "55000"
	stateCanceled         SQLState = "57014"
	stateShutdown         SQLState = "57P01"
	stateTooMany          SQLState = "53300"
	statePassword         SQLState = "28P01"
	stateSyntax           SQLState = "42601"
	stateNoTable          SQLState = "42P01"
	stateNoColumn         SQLState = "42703"
	stateNoFunction       SQLState = "42883"
	stateDuplicateTable   SQLState = "42P07"
	stateUnique           SQLState = "23505"
	stateCheck            SQLState = "23514"
	stateNotNull          SQLState = "23502"
	stateForeignKey       SQLState = "23503"
	stateBadText          SQLState = "22P02"
	stateNoStatement      SQLState = "26000"
	stateNoPortal         SQLState = "34000"
	stateProtocol         SQLState = "08P01"
	stateUnsupported      SQLState = "0A000"
	stateInternal         SQLState = "XX000"
	stateDuplicatePrepare SQLState = "42P05"
)

func refuse(code SQLState, format string, args ...any) error {
	return ErrStatement.New(format, args...).WithProperty(sqlState, code)
}

// explain gives the code and text that a client is told for an error.
func explain(err error) (SQLState, string) {
	e := errorx.Cast(err)
	if e == nil {
		return engineState(err), err.Error()
	}
	if code, found := e.Property(sqlState); found {
		return code.(SQLState), e.Message()
	}
	switch {
	case errorx.IsOfType(err, ErrState):
		return stateNotReady, e.Message()
	case errorx.IsOfType(err, ErrEnded):
		return stateCanceled, e.Message()
	}
	return stateInternal, err.Error()
}

// engineError turns an error of the engine into one for the client.
func engineError(ctx context.Context, err error) error {
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil && errorx.Cast(context.Cause(ctx)) != nil:
		return context.Cause(ctx)
	case ctx.Err() != nil:
		return refuse(stateCanceled, "canceling statement: %s", context.Cause(ctx))
	case errorx.Cast(err) != nil:
		return err
	}
	return refuse(engineState(err), "%s", strings.TrimSuffix(err.Error(), " (1)"))
}

// SQLite's result codes, extended ones included.
const (
	codeCheck      = 275
	codeForeignKey = 787
	codeNotNull    = 1299
	codePrimaryKey = 1555
	codeUnique     = 2067
	codeRowID      = 2579
	codeInterrupt  = 9
	codeMismatch   = 20
	codeBusy       = 5
)

// isLocked reports whether the engine couldn't read because another connection held its lock.
func isLocked(err error) bool {
	engine, found := err.(*sqlite.Error)
	return found && engine.Code() == codeBusy
}

func engineState(err error) SQLState {
	engine, found := err.(*sqlite.Error)
	if !found {
		return stateInternal
	}
	switch engine.Code() {
	case codeUnique, codePrimaryKey, codeRowID:
		return stateUnique
	case codeCheck:
		return stateCheck
	case codeNotNull:
		return stateNotNull
	case codeForeignKey:
		return stateForeignKey
	case codeInterrupt:
		return stateCanceled
	case codeMismatch:
		return stateBadText
	}
	return messageState(engine.Error())
}

// messageState tells apart what SQLite gives one code.
func messageState(message string) SQLState {
	for _, c := range []struct {
		part  string
		state SQLState
	}{
		{"no such table", stateNoTable},
		{"no such column", stateNoColumn},
		{"no such function", stateNoFunction},
		{"already exists", stateDuplicateTable},
		{"syntax error", stateSyntax},
		{"incomplete input", stateSyntax},
		{"unrecognized token", stateSyntax},
	} {
		if strings.Contains(message, c.part) {
			return c.state
		}
	}
	return stateInternal
}
