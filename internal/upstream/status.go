package upstream

import (
	"encoding/json"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

// Role is the role that a server reports for itself.
type Role string

// The roles of a server.
const (
	Primary Role = "primary"
	Replica Role = "replica"
)

// Status is what a server reports of itself.
type Status struct {
	Server platform.ServerName
	Role   Role
	// Term is the highest term that the server has accepted; it never falls.
	Term position.Term
	// Received is the end of the server's log, Applied the position that its reads see;
	// Received.Covers(Applied) always holds.
	Received position.Position
	Applied  position.Position
	// Starts holds the start positions of the terms in the server's log.
	Starts []position.TermStart
}

// precedes reports whether the server's status was s before it was later: a term never
// falls, and within its term a primary neither steps down nor loses what it applied. A
// replica's log may be cut off.
func (s Status) precedes(later Status) bool {
	if s.Term != later.Term || later.Role != Primary {
		return s.Term < later.Term
	}
	return s.Role != Primary || s.Applied.Compare(later.Applied) < 0
}

// parseStatus parses the JSON of savoryramp_status().
func parseStatus(text string) (Status, error) {
	var fields struct {
		Server   platform.ServerName  `json:"server"`
		Role     Role                 `json:"role"`
		Term     position.Term        `json:"term"`
		Received string               `json:"received"`
		Applied  string               `json:"applied"`
		Starts   []position.TermStart `json:"starts"`
	}
	if err := json.Unmarshal([]byte(text), &fields); err != nil {
		return Status{}, ErrBroken.Wrap(err, "status %q", text)
	}
	received, err := position.Parse(fields.Received)
	if err != nil {
		return Status{}, ErrBroken.Wrap(err, "received position")
	}
	applied, err := position.Parse(fields.Applied)
	if err != nil {
		return Status{}, ErrBroken.Wrap(err, "applied position")
	}
	return Status{
		Server: fields.Server, Role: fields.Role, Term: fields.Term,
		Received: received, Applied: applied, Starts: fields.Starts,
	}, nil
}
