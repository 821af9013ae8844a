package platform

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/smithy-go"
)

// maxObjectSize is the maximum number of bytes read of an object.
const maxObjectSize = 4 << 20

// S3 is a Store that uses the S3 API.
type S3 struct {
	client *s3.Client
	bucket string
	retry  Retry
}

// NewS3 returns a client of the named bucket at the endpoint.
func NewS3(endpoint Endpoint, bucket string) *S3 {
	client := s3.New(s3.Options{
		BaseEndpoint:               aws.String(endpoint.URL),
		Region:                     endpoint.Region,
		Credentials:                endpoint,
		HTTPClient:                 endpoint.httpClient(),
		Retryer:                    aws.NopRetryer{},
		UsePathStyle:               true,
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &S3{
		client: client,
		bucket: bucket,
		retry:  Retry{Attempts: maxClientAttempts, Budget: &RetryBudget{}},
	}
}

// Get reads an object.
func (s *S3) Get(ctx context.Context, name ObjectName) ([]byte, error) {
	var body []byte
	err := s.retry.Do(ctx, func(ctx context.Context) error {
		var err error
		body, err = s.read(ctx, name)
		return err
	})
	return body, err
}

func (s *S3) read(ctx context.Context, name ObjectName) ([]byte, error) {
	output, err := s.client.GetObject(ctx, &s3.GetObjectInput{
		Bucket: aws.String(s.bucket),
		Key:    aws.String(string(name)),
	})
	if isNoSuchKey(err) {
		return nil, ErrNoObject.New("object %s", name)
	}
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading object %s", name)
	}
	defer output.Body.Close()
	body, err := io.ReadAll(io.LimitReader(output.Body, maxObjectSize))
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading object %s", name)
	}
	return body, nil
}

// Put writes an object whole.
func (s *S3) Put(ctx context.Context, name ObjectName, body []byte) error {
	return s.retry.Do(ctx, func(ctx context.Context) error {
		_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: aws.String(s.bucket),
			Key:    aws.String(string(name)),
			Body:   bytes.NewReader(body),
		})
		if err != nil {
			return ErrUnavailable.Wrap(err, "writing object %s", name)
		}
		return nil
	})
}

func isNoSuchKey(err error) bool {
	for ; err != nil; err = unwrap(err) {
		if a, ok := err.(smithy.APIError); ok {
			return a.ErrorCode() == "NoSuchKey"
		}
	}
	return false
}
