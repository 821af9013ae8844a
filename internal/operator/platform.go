package operator

import (
	"context"
	"encoding/json"
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
	return platform.Endpoint{URL: url, Region: p.Region, AccessKey: p.AccessKeyID, SecretKey: p.AccessKeySecret}
}

func isNoRow(err error) bool {
	return errorx.IsOfType(err, platform.ErrNoRow)
}

// acceptedBy names the operator who had a version accepted, "unknown" if it is no
// longer remembered.
func acceptedBy(ctx context.Context, table platform.Table, version platform.DocumentVersion) (string, error) {
	row, err := table.Get(ctx, documentRow)
	if err != nil {
		return "", err
	}
	var body struct {
		Changes []struct {
			Version  platform.DocumentVersion `json:"version"`
			Operator string                   `json:"operator"`
		} `json:"changes"`
	}
	if err := json.Unmarshal(row.Body, &body); err != nil {
		return "", ErrBroken.Wrap(err, "row %s", documentRow)
	}
	for _, c := range body.Changes {
		if c.Version == version {
			return c.Operator, nil
		}
	}
	return "unknown", nil
}

// reason gives the innermost cause of an error, on one line.
func reason(err error) string {
	for {
		inner := unwrap(err)
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

// unwrap gives the next error of a chain, nil at its end.
func unwrap(err error) error {
	if e, ok := err.(*errorx.Error); ok {
		return e.Cause()
	}
	w, ok := err.(interface{ Unwrap() error })
	if !ok {
		return nil
	}
	return w.Unwrap()
}
