package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
)

const (
	// connectTimeout bounds the opening of a connection to the platform.
	connectTimeout = 500 * time.Millisecond
	// attemptTimeout bounds one call to the platform.
	attemptTimeout = 2 * time.Second
	// clientAttempts bounds the attempts within one call of a client.
	clientAttempts = 3
	// idleConnections bounds the open connections to one endpoint.
	idleConnections = 8
	// idleTimeout closes connections not used for this long.
	idleTimeout = 60 * time.Second
)

// Endpoint says where a service of the platform is and how to log in to it. Nothing
// is looked up from the surroundings.
type Endpoint struct {
	// URL is the service's base address, such as "http://10.0.0.5:8000".
	URL string
	// Region is what the service wants requests signed for.
	Region string
	// AccessKey and SecretKey sign the requests.
	AccessKey string
	SecretKey string
}

// Retrieve gives the set credentials.
func (e Endpoint) Retrieve(context.Context) (aws.Credentials, error) {
	return aws.Credentials{AccessKeyID: e.AccessKey, SecretAccessKey: e.SecretKey, Source: "settings"}, nil
}

func (e Endpoint) client() *http.Client {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Client{
		Timeout: attemptTimeout,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// cause is one link of a chain of errors.
type cause interface{ Unwrap() error }

// unwrap gives the next error of a chain, nil at its end.
func unwrap(err error) error {
	c, ok := err.(cause)
	if !ok {
		return nil
	}
	return c.Unwrap()
}

// neverSent tells whether a request failed before any of it left.
func neverSent(err error) bool {
	for ; err != nil; err = unwrap(err) {
		if o, ok := err.(*net.OpError); ok && o.Op == "dial" {
			return true
		}
	}
	return false
}
