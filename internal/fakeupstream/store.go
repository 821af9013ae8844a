package fakeupstream

import (
	"context"
	"database/sql"
	"database/sql/driver"
	"math"
	"strconv"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
	_ "modernc.org/sqlite" // the database engine
)

const driverName = "sqlite"

// wholeView is the weight that keeps all readers out of a view.
const wholeView = math.MaxInt32

// view is a database of committed data. Readers take its lock with weight 1.
type view struct {
	db   *sql.DB
	lock *semaphore.Weighted
}

var viewNumber atomic.Int64

func openView(name ServerName) *view {
	dsn := "file:/" + string(name) + "-" + strconv.FormatInt(viewNumber.Add(1), 10) + "?vfs=memdb"
	db, err := sql.Open(driverName, dsn)
	if err != nil {
		panic(err) // the driver is linked in, and opening connects to nothing
	}
	db.SetMaxIdleConns(maxIdleReaders)
	v := &view{db: db, lock: semaphore.NewWeighted(wholeView)}
	// The database lives as long as a connection to it.
	if err := db.Ping(); err != nil {
		panic(err)
	}
	return v
}

// maxIdleReaders bounds the idle SQLite connections of a view.
const maxIdleReaders = 16

func (v *view) close() { _ = v.db.Close() }

// change is a transaction on a view that keeps readers out.
type change struct {
	view *view
	conn *sql.Conn
}

// change runs statements, not yet committed. With an error of a statement the
// change is returned as well.
func (v *view) change(ctx context.Context, list []Statement) (*change, error) {
	if err := v.lock.Acquire(ctx, wholeView); err != nil {
		return nil, ErrEnded.Wrap(err, "view lock")
	}
	background := context.Background()
	conn, err := v.db.Conn(background)
	if err != nil {
		v.lock.Release(wholeView)
		return nil, ErrEngine.Wrap(err, "view connection")
	}
	c := &change{view: v, conn: conn}
	_, err = conn.ExecContext(background, "BEGIN IMMEDIATE")
	for _, s := range list {
		if err == nil {
			_, err = conn.ExecContext(background, s.SQL, s.Args...)
		}
	}
	if err != nil {
		return c, ErrEngine.Wrap(err, "replay")
	}
	return c, nil
}

func (c *change) commit() { _, _ = c.conn.ExecContext(context.Background(), "COMMIT") }

// end lets readers in again; what isn't committed is rolled back.
func (c *change) end() {
	_, _ = c.conn.ExecContext(context.Background(), "ROLLBACK")
	_ = c.conn.Close()
	c.view.lock.Release(wholeView)
}

// work is the database in which a primary's one writing transaction runs.
type work struct {
	db *sql.DB
	// writer is held from a transaction's first write to its end.
	writer *semaphore.Weighted
}

// copy makes a work database with the data of the view, which nobody changes
// meanwhile.
func (v *view) copy() *work {
	db, err := sql.Open(driverName, ":memory:")
	if err != nil {
		panic(err)
	}
	db.SetMaxOpenConns(1)
	var image []byte
	raw(v.db, func(c any) error {
		image, err = c.(interface{ Serialize() ([]byte, error) }).Serialize()
		return err
	})
	if len(image) > 0 {
		raw(db, func(c any) error {
			return c.(interface{ Deserialize([]byte) error }).Deserialize(image)
		})
	}
	return &work{db: db, writer: semaphore.NewWeighted(1)}
}

func raw(db *sql.DB, use func(c any) error) {
	conn, err := db.Conn(context.Background())
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	if err := conn.Raw(use); err != nil && err != driver.ErrSkip {
		panic(err)
	}
}

// close doesn't wait for the transaction that may still hold the connection.
func (w *work) close() { _ = w.db.Close() }
