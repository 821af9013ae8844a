package platform

import (
	"context"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/joomcode/errorx"
)

// The DynamoDB attributes of a row. The kind, which is the row key up to its first slash,
// is the partition key; the whole row key is the sort key.
const (
	AttributeKind    = "row-kind"
	AttributeKey     = "row-key"
	AttributeVersion = "row-version"
	AttributeChange  = "row-change"
	AttributeBody    = "row-body"
)

// The condition expressions of writes, and the key condition of a listing.
const (
	ConditionAbsent  = "attribute_not_exists(#version)"
	ConditionVersion = "#version = :version"
	ConditionPrefix  = "#kind = :kind AND begins_with(#key, :prefix)"
)

// Dynamo is a Table that uses the DynamoDB API.
type Dynamo struct {
	client *dynamodb.Client
	table  string
	retry  Retry
}

// NewDynamo returns a client of the named table at the endpoint.
func NewDynamo(endpoint Endpoint, table string) *Dynamo {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(endpoint.URL),
		Region:       endpoint.Region,
		Credentials:  endpoint,
		HTTPClient:   endpoint.httpClient(),
		Retryer:      aws.NopRetryer{},
	})
	return &Dynamo{
		client: client,
		table:  table,
		retry:  Retry{Attempts: maxClientAttempts, Budget: &RetryBudget{}},
	}
}

// Get reads a row with strong consistency.
func (d *Dynamo) Get(ctx context.Context, key RowKey) (Row, error) {
	input := &dynamodb.GetItemInput{
		TableName:      aws.String(d.table),
		ConsistentRead: aws.Bool(true),
		Key:            itemKey(key),
	}
	var row Row
	err := d.retry.Do(ctx, func(ctx context.Context) error {
		output, err := d.client.GetItem(ctx, input)
		if err != nil {
			return ErrUnavailable.Wrap(err, "reading row %s", key)
		}
		if len(output.Item) == 0 {
			return ErrNoRow.New("row %s", key)
		}
		row, err = decodeRow(output.Item)
		return err
	})
	return row, err
}

// Put writes a row if the stored version is row.Version.
func (d *Dynamo) Put(ctx context.Context, row Row) (Row, error) {
	input := d.putInput(row)
	written := row
	written.Version++
	// maybeWritten is set once an attempt may have taken effect.
	maybeWritten := false
	err := d.retry.Do(ctx, func(ctx context.Context) error {
		_, err := d.client.PutItem(ctx, input)
		if err == nil {
			return nil
		}
		err = putOutcome(row, err, maybeWritten)
		maybeWritten = maybeWritten || errorx.IsOfType(err, ErrOutcomeUnknown)
		return err
	})
	if err == nil {
		return written, nil
	}
	if maybeWritten && errorx.IsOfType(err, ErrUnavailable) {
		return Row{}, ErrOutcomeUnknown.Wrap(err, "an earlier attempt may have written the row")
	}
	return Row{}, err
}

// putInput returns a request that writes the row if the stored version is row.Version.
func (d *Dynamo) putInput(row Row) *dynamodb.PutItemInput {
	input := &dynamodb.PutItemInput{
		TableName:                           aws.String(d.table),
		Item:                                encodeRow(row),
		ConditionExpression:                 aws.String(ConditionAbsent),
		ExpressionAttributeNames:            map[string]string{"#version": AttributeVersion},
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
	if row.Version > 0 {
		input.ConditionExpression = aws.String(ConditionVersion)
		input.ExpressionAttributeValues = map[string]types.AttributeValue{":version": numberAttribute(row.Version)}
	}
	return input
}

// putOutcome returns the error of a failed attempt to write a row. It returns nil if the
// condition failed because an earlier attempt had written this very row. maybeWritten is
// whether an earlier attempt may have taken effect.
func putOutcome(row Row, err error, maybeWritten bool) error {
	failed, conflict := conditionFailed(err)
	if !conflict {
		return writeError(row.Key, err)
	}
	stored := Row{}
	if len(failed.Item) > 0 {
		found, err := decodeRow(failed.Item)
		if err != nil {
			return err
		}
		stored = found
	}
	if stored.Version == row.Version+1 && stored.Change == row.Change {
		return nil
	}
	// Another writer may have replaced the version that an earlier attempt wrote.
	if maybeWritten && stored.Version != row.Version+1 {
		return errUnretryable.New("row %s is at version %d, perhaps on top of this write", row.Key, stored.Version)
	}
	return ErrConflict.New("row %s is at version %d, not %d", row.Key, stored.Version, row.Version)
}

// writeError returns ErrUnavailable for a write that certainly had no effect and
// ErrOutcomeUnknown for one that may have had.
func writeError(key RowKey, err error) error {
	if wasNeverSent(err) || isThrottled(err) {
		return ErrUnavailable.Wrap(err, "writing row %s", key)
	}
	return ErrOutcomeUnknown.Wrap(err, "writing row %s", key)
}

// conditionFailed finds the error of a failed write condition in a chain of errors.
func conditionFailed(err error) (*types.ConditionalCheckFailedException, bool) {
	for ; err != nil; err = unwrap(err) {
		if failed, ok := err.(*types.ConditionalCheckFailedException); ok {
			return failed, true
		}
	}
	return nil, false
}

// isThrottled reports whether the service rejected a request because of its rate.
func isThrottled(err error) bool {
	for ; err != nil; err = unwrap(err) {
		a, ok := err.(smithy.APIError)
		if !ok {
			continue
		}
		switch a.ErrorCode() {
		case "ProvisionedThroughputExceededException", "ThrottlingException", "RequestLimitExceeded":
			return true
		}
		return false
	}
	return false
}

// List reads all rows whose key begins with a prefix such as "group/". A malformed row has only its key.
func (d *Dynamo) List(ctx context.Context, prefix RowKey) ([]Row, error) {
	kind, _, found := strings.Cut(string(prefix), "/")
	if !found {
		return nil, ErrRow.New("prefix %s has no slash", prefix)
	}
	var rows []Row
	err := d.retry.Do(ctx, func(ctx context.Context) error {
		var err error
		rows, err = d.query(ctx, kind, prefix)
		return err
	})
	return rows, err
}

func (d *Dynamo) query(ctx context.Context, kind string, prefix RowKey) ([]Row, error) {
	pages := dynamodb.NewQueryPaginator(d.client, &dynamodb.QueryInput{
		TableName:                aws.String(d.table),
		ConsistentRead:           aws.Bool(true),
		KeyConditionExpression:   aws.String(ConditionPrefix),
		ExpressionAttributeNames: map[string]string{"#kind": AttributeKind, "#key": AttributeKey},
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":kind":   stringAttribute(kind),
			":prefix": stringAttribute(string(prefix)),
		},
	})
	var rows []Row
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, ErrUnavailable.Wrap(err, "listing rows %s", prefix)
		}
		for _, item := range page.Items {
			row, err := decodeRow(item)
			if key, found := item[AttributeKey].(*types.AttributeValueMemberS); err != nil && found {
				row, err = Row{Key: RowKey(key.Value)}, nil
			}
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Kind returns the part of a row key before its first slash.
func (k RowKey) Kind() string {
	kind, _, _ := strings.Cut(string(k), "/")
	return kind
}

// itemKey returns the key attributes of a row's item.
func itemKey(key RowKey) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		AttributeKind: stringAttribute(key.Kind()),
		AttributeKey:  stringAttribute(string(key)),
	}
}

// encodeRow returns the item that a write of row stores, with version row.Version+1.
func encodeRow(row Row) map[string]types.AttributeValue {
	item := itemKey(row.Key)
	item[AttributeVersion] = numberAttribute(row.Version + 1)
	item[AttributeChange] = stringAttribute(string(row.Change))
	item[AttributeBody] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

// decodeRow converts an item to a row.
func decodeRow(item map[string]types.AttributeValue) (Row, error) {
	key, keyOK := item[AttributeKey].(*types.AttributeValueMemberS)
	version, versionOK := item[AttributeVersion].(*types.AttributeValueMemberN)
	change, changeOK := item[AttributeChange].(*types.AttributeValueMemberS)
	body, bodyOK := item[AttributeBody].(*types.AttributeValueMemberB)
	if !keyOK || !versionOK || !changeOK || !bodyOK {
		return Row{}, ErrRow.New("an attribute is missing or of another type")
	}
	versionNumber, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return Row{}, ErrRow.Wrap(err, "row %s", key.Value)
	}
	return Row{Key: RowKey(key.Value), Version: Version(versionNumber), Change: ChangeID(change.Value), Body: body.Value}, nil
}

func stringAttribute(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: s}
}

func numberAttribute(v Version) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(int64(v), 10)}
}
