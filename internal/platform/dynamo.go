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

// The attributes of a row. The kind is the row key up to its first slash and the
// partition key; the row key itself is the sort key.
const (
	AttributeKind    = "row-kind"
	AttributeKey     = "row-key"
	AttributeVersion = "row-version"
	AttributeChange  = "row-change"
	AttributeBody    = "row-body"
)

// The conditions under which rows are written, and the conditions of a listing.
const (
	ConditionAbsent  = "attribute_not_exists(#version)"
	ConditionVersion = "#version = :version"
	ConditionPrefix  = "#kind = :kind AND begins_with(#key, :prefix)"
)

// Dynamo is a Table over the DynamoDB API.
type Dynamo struct {
	client *dynamodb.Client
	table  string
	retry  Retry
}

// NewDynamo speaks to the named table at the endpoint.
func NewDynamo(endpoint Endpoint, table string) *Dynamo {
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(endpoint.URL),
		Region:       endpoint.Region,
		Credentials:  endpoint,
		HTTPClient:   endpoint.client(),
		Retryer:      aws.NopRetryer{},
	})
	return &Dynamo{
		client: client,
		table:  table,
		retry:  Retry{Attempts: clientAttempts, Budget: &RetryBudget{}},
	}
}

// Get reads a row, strongly consistent.
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
		row, err = itemRow(output.Item)
		return err
	})
	return row, err
}

// Put writes a row if the stored version is row.Version.
func (d *Dynamo) Put(ctx context.Context, row Row) (Row, error) {
	input := d.putInput(row)
	written := row
	written.Version++
	// sent is set once an attempt may have taken effect.
	sent := false
	err := d.retry.Do(ctx, func(ctx context.Context) error {
		_, err := d.client.PutItem(ctx, input)
		if err == nil {
			return nil
		}
		err = putError(row, err, sent)
		sent = sent || errorx.IsOfType(err, ErrOutcomeUnknown)
		return err
	})
	if err == nil {
		return written, nil
	}
	if sent && errorx.IsOfType(err, ErrUnavailable) {
		return Row{}, ErrOutcomeUnknown.Wrap(err, "an earlier attempt may have written")
	}
	return Row{}, err
}

func (d *Dynamo) putInput(row Row) *dynamodb.PutItemInput {
	input := &dynamodb.PutItemInput{
		TableName:                           aws.String(d.table),
		Item:                                rowItem(row),
		ConditionExpression:                 aws.String(ConditionAbsent),
		ExpressionAttributeNames:            map[string]string{"#version": AttributeVersion},
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
	if row.Version > 0 {
		input.ConditionExpression = aws.String(ConditionVersion)
		input.ExpressionAttributeValues = map[string]types.AttributeValue{":version": number(row.Version)}
	}
	return input
}

// putError says what a failed attempt to write did; nil if the row that stands in its
// way is its own effect.
func putError(row Row, err error, sent bool) error {
	failed, conflict := conditionFailed(err)
	if !conflict {
		return attemptError(row.Key, err)
	}
	stored := Row{}
	if len(failed.Item) > 0 {
		found, err := itemRow(failed.Item)
		if err != nil {
			return err
		}
		stored = found
	}
	if stored.Version == row.Version+1 && stored.Change == row.Change {
		return nil
	}
	// A later version may stand on top of an own effect.
	if sent && stored.Version != row.Version+1 {
		return errUnsettled.New("row %s is at version %d, perhaps over an own write", row.Key, stored.Version)
	}
	return ErrConflict.New("row %s is at version %d, not %d", row.Key, stored.Version, row.Version)
}

// attemptError tells a write that certainly did nothing from one that may have.
func attemptError(key RowKey, err error) error {
	if neverSent(err) || throttled(err) {
		return ErrUnavailable.Wrap(err, "writing row %s", key)
	}
	return ErrOutcomeUnknown.Wrap(err, "writing row %s", key)
}

func conditionFailed(err error) (*types.ConditionalCheckFailedException, bool) {
	for ; err != nil; err = unwrap(err) {
		if failed, ok := err.(*types.ConditionalCheckFailedException); ok {
			return failed, true
		}
	}
	return nil, false
}

func throttled(err error) bool {
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

// List reads all rows of a prefix such as "group/".
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
			":kind":   text(kind),
			":prefix": text(string(prefix)),
		},
	})
	var rows []Row
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, ErrUnavailable.Wrap(err, "listing rows %s", prefix)
		}
		for _, item := range page.Items {
			row, err := itemRow(item)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Kind is the part of a row key before its first slash.
func (k RowKey) Kind() string {
	kind, _, _ := strings.Cut(string(k), "/")
	return kind
}

func itemKey(key RowKey) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		AttributeKind: text(key.Kind()),
		AttributeKey:  text(string(key)),
	}
}

// rowItem is the item that a write of row.Version+1 stores.
func rowItem(row Row) map[string]types.AttributeValue {
	item := itemKey(row.Key)
	item[AttributeVersion] = number(row.Version + 1)
	item[AttributeChange] = text(string(row.Change))
	item[AttributeBody] = &types.AttributeValueMemberB{Value: row.Body}
	return item
}

func itemRow(item map[string]types.AttributeValue) (Row, error) {
	key, keyOK := item[AttributeKey].(*types.AttributeValueMemberS)
	version, versionOK := item[AttributeVersion].(*types.AttributeValueMemberN)
	change, changeOK := item[AttributeChange].(*types.AttributeValueMemberS)
	body, bodyOK := item[AttributeBody].(*types.AttributeValueMemberB)
	if !keyOK || !versionOK || !changeOK || !bodyOK {
		return Row{}, ErrRow.New("an attribute is missing or of another type")
	}
	count, err := strconv.ParseInt(version.Value, 10, 64)
	if err != nil {
		return Row{}, ErrRow.Wrap(err, "row %s", key.Value)
	}
	return Row{Key: RowKey(key.Value), Version: Version(count), Change: ChangeID(change.Value), Body: body.Value}, nil
}

func text(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: s}
}

func number(v Version) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatInt(int64(v), 10)}
}
