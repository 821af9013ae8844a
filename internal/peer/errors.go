package peer

import (
	"context"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	errs = errorx.NewNamespace("peer")
	// ErrUnreachable means that the peer is unknown or that no answer arrived; in the
	// second case the peer may or may not have received the call.
	ErrUnreachable = errs.NewType("unreachable")
	// ErrRefused means that the peer answered the call with an error.
	ErrRefused = errs.NewType("refused")
	// ErrCertificate means that certificate files can't be read or used, or that a
	// peer's certificate isn't valid.
	ErrCertificate = errs.NewType("certificate")
)

func callError(err error, to Name) error {
	if err == nil {
		return nil
	}
	switch status.Code(err) {
	case codes.Unknown, codes.Unimplemented, codes.FailedPrecondition, codes.PermissionDenied:
		return ErrRefused.Wrap(err, "peer %s refused the call", to)
	}
	if status.Code(err) == codes.Canceled {
		return ErrUnreachable.Wrap(context.Canceled, "peer %s", to)
	}
	return ErrUnreachable.Wrap(err, "peer %s", to)
}
