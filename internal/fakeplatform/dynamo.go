package fakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	targetPrefix    = "DynamoDB_20120810."
	exceptionPrefix = "com.amazonaws.dynamodb.v20120810#"
)

// attribute is a DynamoDB value of one of the three types that rows use.
type attribute struct {
	Text   *string `json:"S,omitempty"`
	Number *string `json:"N,omitempty"`
	Bytes  *[]byte `json:"B,omitempty"`
}

type item map[string]attribute

func (i item) text(name string) string {
	if value := i[name].Text; value != nil {
		return *value
	}
	return ""
}

func (i item) number(name string) platform.Version {
	value := i[name].Number
	if value == nil {
		return 0
	}
	number, _ := strconv.ParseInt(*value, 10, 64)
	return platform.Version(number)
}

func (i item) bytes(name string) []byte {
	if value := i[name].Bytes; value != nil {
		return *value
	}
	return nil
}

func rowItem(r platform.Row) item {
	kind, key, change := r.Key.Kind(), string(r.Key), string(r.Change)
	version := strconv.FormatInt(int64(r.Version), 10)
	body := append([]byte{}, r.Body...)
	return item{
		platform.AttributeKind:    {Text: &kind},
		platform.AttributeKey:     {Text: &key},
		platform.AttributeVersion: {Number: &version},
		platform.AttributeChange:  {Text: &change},
		platform.AttributeBody:    {Bytes: &body},
	}
}

// dynamoRequest holds what the three calls send.
type dynamoRequest struct {
	Key                                 item
	Item                                item
	ConditionExpression                 string
	KeyConditionExpression              string
	ExpressionAttributeValues           item
	ReturnValuesOnConditionCheckFailure string
}

func (p *Platform) serveDynamo(w http.ResponseWriter, r *http.Request) {
	var request dynamoRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		exception(w, http.StatusBadRequest, "SerializationException", err.Error(), nil)
		return
	}
	switch target := strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix); target {
	case "GetItem":
		p.serveGetItem(w, r, request)
	case "PutItem":
		p.servePutItem(w, r, request)
	case "Query":
		p.serveQuery(w, r, request)
	default:
		exception(w, http.StatusBadRequest, "UnknownOperationException", target, nil)
	}
}

func (p *Platform) serveGetItem(w http.ResponseWriter, r *http.Request, request dynamoRequest) {
	key := platform.RowKey(request.Key.text(platform.AttributeKey))
	row, err := p.Table().Get(r.Context(), key)
	if errorx.IsOfType(err, platform.ErrNoRow) {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{ Item item }{rowItem(row)})
}

func (p *Platform) servePutItem(w http.ResponseWriter, r *http.Request, request dynamoRequest) {
	row, ok := request.row()
	if !ok {
		exception(w, http.StatusBadRequest, "ValidationException", request.ConditionExpression, nil)
		return
	}
	_, err := p.Table().Put(r.Context(), row)
	if errorx.IsOfType(err, platform.ErrConflict) {
		exception(w, http.StatusBadRequest, "ConditionalCheckFailedException", "the condition doesn't hold", p.standing(request, row.Key))
		return
	}
	if err != nil {
		fail(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// standing is the item in the way of a write, if the request asks for it.
func (p *Platform) standing(request dynamoRequest, key platform.RowKey) item {
	p.mu.Lock()
	defer p.mu.Unlock()
	row := p.newest(key)
	if request.ReturnValuesOnConditionCheckFailure != "ALL_OLD" || row.Version == 0 {
		return nil
	}
	return rowItem(row)
}

// row is the write that a PutItem asks for, under the two known conditions only.
func (d dynamoRequest) row() (platform.Row, bool) {
	row := platform.Row{
		Key:    platform.RowKey(d.Item.text(platform.AttributeKey)),
		Change: platform.ChangeID(d.Item.text(platform.AttributeChange)),
		Body:   d.Item.bytes(platform.AttributeBody),
	}
	switch d.ConditionExpression {
	case platform.ConditionAbsent:
	case platform.ConditionVersion:
		row.Version = d.ExpressionAttributeValues.number(":version")
	default:
		return row, false
	}
	return row, d.Item.number(platform.AttributeVersion) == row.Version+1
}

func (p *Platform) serveQuery(w http.ResponseWriter, r *http.Request, request dynamoRequest) {
	if request.KeyConditionExpression != platform.ConditionPrefix {
		exception(w, http.StatusBadRequest, "ValidationException", request.KeyConditionExpression, nil)
		return
	}
	prefix := platform.RowKey(request.ExpressionAttributeValues.text(":prefix"))
	rows, err := p.Table().List(r.Context(), prefix)
	if err != nil {
		fail(w, err)
		return
	}
	items := []item{}
	for _, row := range rows {
		items = append(items, rowItem(row))
	}
	writeJSON(w, http.StatusOK, struct {
		Items []item
		Count int
	}{items, len(items)})
}

// fail answers as a service in trouble does; an answer that is lost ends the connection.
func fail(w http.ResponseWriter, err error) {
	if errorx.IsOfType(err, platform.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if errorx.IsOfType(err, errThrottled) {
		exception(w, http.StatusBadRequest, "ProvisionedThroughputExceededException", err.Error(), nil)
		return
	}
	exception(w, http.StatusInternalServerError, "InternalServerError", err.Error(), nil)
}

func exception(w http.ResponseWriter, status int, name, message string, standing item) {
	writeJSON(w, status, struct {
		Type    string `json:"__type"`
		Message string `json:"message"`
		Item    item   `json:",omitempty"`
	}{exceptionPrefix + name, message, standing})
}
