package load

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/savoryramp/savoryramp/internal/platform"
	"github.com/savoryramp/savoryramp/pkg/position"
)

const (
	// tokenParameter carries the session's token both ways.
	tokenParameter = "savoryramp.session"
	// codeUnknown is the SQLSTATE of a transaction whose outcome is unknown.
	codeUnknown = "08007"
	// codeShutdown is the SQLSTATE with which a VM ends idle sessions before it leaves.
	codeShutdown = "57P01"
	closeTimeout = time.Second
)

// The statements. Their first argument names the request, so that the stand-in's
// record of what ran where can be joined with what the caller was told.
const (
	insertReceipt = "INSERT INTO receipts (id, person) VALUES ($1, $2)"
	countReceipts = "SELECT count(*) FROM receipts WHERE $1 > 0 AND person = $2"
)

// PersonID numbers the callers of a trial.
type PersonID int

// Person is a caller that sends one request at a time and roams between VMs.
type Person struct {
	ID        PersonID
	Workspace platform.WorkspaceName
	// acknowledged counts the person's writes that are known to have been made,
	// unknown those that may have been.
	acknowledged int
	unknown      int
	// floor is the position of the newest acknowledged write, by the session token.
	floor    position.Position
	database platform.DatabaseName
	// connection is nil or closed between two.
	connection *connection
	token      string
	// vm is the index of the VM that the person connects to, modulo their count.
	vm int
}

// connection is one session with a VM.
type connection struct {
	conn *pgx.Conn
}

// connect logs in, with the token of an earlier session unless it is empty.
func connect(ctx context.Context, address string, user platform.KeyName, password string, database platform.DatabaseName, token string) (*connection, error) {
	config, err := pgx.ParseConfig("postgres://" + address + "/" + string(database) + "?sslmode=disable")
	if err != nil {
		return nil, ErrSetup.Wrap(err, "address %s", address)
	}
	config.User, config.Password = string(user), password
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	if token != "" {
		config.RuntimeParams[tokenParameter] = token
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn}, nil
}

func (c *connection) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.conn.Close(ctx)
}

// leave closes the connection.
func (p *Person) leave() {
	if p.connection != nil {
		p.connection.close()
		p.connection = nil
	}
}

// roam leaves for another VM.
func (p *Person) roam(vm int, withToken bool) {
	p.leave()
	p.vm = vm
	if !withToken {
		p.token = ""
	}
}

// send runs the request once on the person's connection.
func (p *Person) send(ctx context.Context, s *Site, r Request) (found int, err error) {
	if p.connection == nil || p.connection.conn.IsClosed() {
		address := string(s.listed(p.vm).Address)
		p.connection, err = connect(ctx, address, keyName(p.Workspace), secret(p.Workspace), p.database, p.token)
		if err != nil {
			return 0, notSent{err}
		}
	}
	if r.Kind == Write {
		_, err = p.connection.conn.Exec(ctx, insertReceipt, int(r.ID), int(p.ID))
	} else {
		err = p.connection.conn.QueryRow(ctx, countReceipts, int(r.ID), int(p.ID)).Scan(&found)
	}
	return found, err
}

// take notes the token that came with an acknowledged write.
func (p *Person) take(up platform.UpstreamName) {
	token := p.connection.conn.PgConn().ParameterStatus(tokenParameter)
	if token == "" {
		return
	}
	p.token = token
	p.floor = position.Max(p.floor, floorOf(token, up))
}

// floorOf reads the floor of a group from a session token's body; zero if there is none.
func floorOf(token string, up platform.UpstreamName) position.Position {
	left, _, _ := strings.Cut(token, ".")
	body, _ := base64.RawURLEncoding.DecodeString(left)
	var wire struct {
		Floors map[platform.UpstreamName]string `json:"floors"`
	}
	_ = json.Unmarshal(body, &wire)
	floor, _ := position.Parse(wire.Floors[up])
	return floor
}

// notSent is a failure before anything of the request was sent.
type notSent struct{ error }

// Unwrap gives the failure itself.
func (n notSent) Unwrap() error { return n.error }

// ServerError finds the VM's own answer in a chain of errors, the last if several ways
// to connect were tried; nil if there is none.
func ServerError(err error) *pgconn.PgError {
	switch e := err.(type) {
	case *pgconn.PgError:
		return e
	case interface{ Unwrap() error }:
		return ServerError(e.Unwrap())
	case interface{ Unwrap() []error }:
		for _, one := range slices.Backward(e.Unwrap()) {
			if answer := ServerError(one); answer != nil {
				return answer
			}
		}
	}
	return nil
}

// crowd keeps the persons of one workspace that use one database.
type crowd struct {
	workspace platform.WorkspaceName
	database  platform.DatabaseName
	// next numbers persons over all crowds.
	next func() PersonID

	mu sync.Mutex
	// idle persons, the longest idle first.
	idle []*Person
	all  []*Person
}

// take gives an idle person, or a new one.
func (c *crowd) take() *Person {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) > 0 {
		p := c.idle[0]
		c.idle = c.idle[1:]
		return p
	}
	id := c.next()
	p := &Person{ID: id, Workspace: c.workspace, database: c.database, vm: int(id)}
	c.all = append(c.all, p)
	return p
}

func (c *crowd) back(p *Person) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, p)
}
