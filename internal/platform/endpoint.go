package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/go-kit/log"
)

const (
	// connectTimeout limits the time to connect to a service of the platform.
	connectTimeout = 500 * time.Millisecond
	// attemptTimeout limits one HTTP request to the platform.
	attemptTimeout = 2 * time.Second
	// maxClientAttempts limits the requests made for one call of a client.
	maxClientAttempts = 3
	// maxIdleConnections limits the idle connections kept open to one endpoint.
	maxIdleConnections = 8
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
)

// Endpoint holds the address of a service of the platform and the credentials for it.
// None of them is read from the environment or from AWS configuration files.
type Endpoint struct {
	// URL is the service's base address, such as "http://10.0.0.5:8000".
	URL string
	// Region is the AWS region in the requests' signatures.
	Region string
	// AccessKey and SecretKey sign the requests.
	AccessKey string
	SecretKey string
	// Logger logs responses that may be duplicates. It may be nil.
	Logger log.Logger
}

// Retrieve returns the endpoint's credentials. It implements aws.CredentialsProvider.
func (e Endpoint) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: e.AccessKey, SecretAccessKey: e.SecretKey, Source: "settings"}, nil
}

func (e Endpoint) httpClient() *http.Client {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Timeout: attemptTimeout,
		Transport: &transport{logger: e.Logger, Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &connection{Conn: nc}, nil
			},
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
		}},
	}
}

// unwrapper is an error that wraps another.
type unwrapper interface{ Unwrap() error }

// unwrap returns the error that err wraps, nil if there is none.
func unwrap(err error) error {
	c, ok := err.(unwrapper)
	if !ok {
		return nil
	}
	return c.Unwrap()
}

// wasNeverSent reports whether a request failed before any of it was sent, because no
// connection could be opened.
func wasNeverSent(err error) bool {
	for ; err != nil; err = unwrap(err) {
		if o, ok := err.(*net.OpError); ok && o.Op == "dial" {
			return true
		}
	}
	return false
}
