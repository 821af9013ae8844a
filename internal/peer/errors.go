package peer

import (
	"context"

	"github.com/joomcode/errorx"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var (
	errs = errorx.NewNamespace("peer")
	// ErrUnreachable means that a peer isn't known, or that the call may or may not
	// have reached it and no answer came.
	ErrUnreachable = errs.NewType("unreachable")
	// ErrRefused means that the peer answered with an error.
	ErrRefused = errs.NewType("refused")
	// ErrCertificate means that certificate files can't be read or used.
	ErrCertificate = errs.NewType("certificate")
)

func callError(err error, to Name) error {
	if err == nil {
		return nil
	}
	switch status.Code(err) {
	case codes.Unknown, codes.Unimplemented, codes.FailedPrecondition, codes.PermissionDenied:
		return ErrRefused.Wrap(err, "peer %s refused", to)
	}
	if status.Code(err) == codes.Canceled {
		return ErrUnreachable.Wrap(context.Canceled, "peer %s", to)
	}
	return ErrUnreachable.Wrap(err, "peer %s", to)
}
