package operator

import (
	"strings"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const documentRow platform.RowKey = "document"

func newTable(p PlatformOptions) platform.Table {
	return platform.NewDynamo(p.endpoint(p.TableEndpoint), p.Table)
}

func newStore(p PlatformOptions) platform.Store {
	return platform.NewS3(p.endpoint(p.StoreEndpoint), p.Bucket)
}

func (p PlatformOptions) endpoint(url string) platform.Endpoint {
	return platform.Endpoint{URL: url, Region: p.Region, AccessKey: p.AccessKeyID, SecretKey: p.AccessKeySecret, Logger: p.Logger}
}

func isNoRow(err error) bool {
	return errorx.IsOfType(err, platform.ErrNoRow)
}

// rootCause returns the message of the innermost cause of an error, on one line.
func rootCause(err error) string {
	for {
		inner := nextCause(err)
		if inner == nil {
			break
		}
		err = inner
	}
	text := err.Error()
	if e := errorx.Cast(err); e != nil {
		text = e.Message()
	}
	return strings.ReplaceAll(text, "\n", "; ")
}

// nextCause returns the next error in a chain, or nil at its end.
func nextCause(err error) error {
	if e, ok := err.(*errorx.Error); ok {
		return e.Cause()
	}
	w, ok := err.(interface{ Unwrap() error })
	if !ok {
		return nil
	}
	return w.Unwrap()
}
