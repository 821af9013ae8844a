package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/savoryramp/savoryramp/platform/standin"
)

const (
	// fillerUnit is repeated in written data. It has a line feed and a carriage return, but no line end.
	fillerUnit = "line\nfeed\rand return "
	// shortData, mediumData and longData are the most bytes of written data, in falling frequency.
	shortData, mediumData, longData = 60, 10_000, 120_000
	// ownBound is how old reads of the route "own" may be beside the session's own writes.
	ownBound = 2500 * time.Millisecond
	// reopenPause is the pause of a client without a session.
	reopenPause = 20 * time.Millisecond
)

// dataOf returns what is written into an item as its n-th value. It is different for each item and value.
func dataOf(item string, value int) string {
	h := fnv.New64a()
	fmt.Fprint(h, item)
	r := rand.New(rand.NewPCG(h.Sum64(), uint64(value)))
	n := r.IntN(shortData)
	switch k := r.IntN(500); {
	case k == 0:
		n = r.IntN(longData)
	case k < 10:
		n = r.IntN(mediumData)
	}
	return fmt.Sprintf("%d %s ", value, item) + strings.Repeat(fillerUnit, n/len(fillerUnit)+1)[:n]
}

// statement returns the text of a read or write, which executes a prepared statement if the session has one.
func (c *session) statement(kind, arguments string) string {
	for name, plan := range c.plans {
		if strings.HasPrefix(plan, kind) && c.random.IntN(2) == 0 {
			return "EXECUTE " + name + " " + arguments
		}
	}
	return kind + " " + arguments
}

// mixed sends statements of all kinds without pauses.
func (s *Soak) mixed(number int, halt <-chan struct{}) {
	r := rand.New(rand.NewPCG(s.Seed, uint64(1000+number)))
	c := &session{soak: s, key: mainKey, random: r, hurries: true}
	defer c.close()
	generation, value := 0, 0
	for !halted(halt) {
		if c.client == nil || c.uses > usesMost {
			c.close()
			c.database = []string{"strict", "bounded", "own"}[r.IntN(3)]
		}
		client := c.open()
		if client == nil {
			s.pause(reopenPause)
			continue
		}
		item := fmt.Sprintf("m%d-%d", number, generation)
		switch k := r.IntN(100); {
		case k < 50:
			c.readAny(client, item)
		case k < 80:
			value++
			if !c.writeNext(client, number, item, value, k >= 70) {
				generation, value = generation+1, 0
			}
		case k < 83:
			c.abandon(client, item, "ROLLBACK")
		case k < 84:
			c.abandon(client, item, "")
		case k < 88:
			c.readTwice(client, number)
		case k < 94:
			c.do(client, "main", fmt.Sprintf("SET v%d %d-%d\n\r.", r.IntN(2), number, r.IntN(5)))
		default:
			c.do(client, "main", fmt.Sprintf("PREPARE s%d %s shape %d\n\r %d", r.IntN(2), []string{"READ", "WRITE"}[r.IntN(2)], number, r.IntN(3)))
		}
	}
}

// writeNext writes the next value of an item. It reports false if the write may come later than what follows.
func (c *session) writeNext(client *standin.Client, number int, item string, value int, transaction bool) bool {
	term := c.soak.ledger.NewestTerm()
	id, outcome := c.write(client, item, value, transaction)
	c.soak.check.wrote(id, number, item, value, term, outcome)
	if outcome == standin.Done && c.client != nil {
		c.wrote[item] = written{value: value, term: term}
	}
	return outcome != standin.Unknown && outcome != standin.Disconnected
}

// readAny reads an item of any caller.
func (c *session) readAny(client *standin.Client, own string) {
	item, least, term := c.soak.check.newest(c.random.IntN(c.soak.writers()+c.soak.Clients), c.bound())
	if w := c.wrote[own]; w.value > 0 && c.database == "own" && c.random.IntN(2) == 0 {
		item, least, term = own, w.value, w.term
	}
	if item == "" {
		return
	}
	if _, a := c.do(client, "main", c.statement("READ", item)); a.Outcome == standin.Done {
		c.soak.saw(c.database, item, least, term, a)
	}
}

// readTwice reads an item twice in a read-only transaction.
func (c *session) readTwice(client *standin.Client, number int) {
	item, least, term := c.soak.check.newest(number, c.bound())
	if item == "" {
		return
	}
	if _, a := c.do(client, "main", "BEGIN READ"); a.Outcome != standin.Done {
		return
	}
	for range 2 {
		_, a := c.do(client, "main", c.statement("READ", item))
		if a.Outcome != standin.Done {
			c.rollBack(client)
			return
		}
		c.soak.saw(c.database, item, least, term, a)
	}
	c.do(client, "main", "COMMIT")
}

// bound is how old the reads of the session may be.
func (c *session) bound() time.Duration {
	return map[string]time.Duration{"bounded": staleMs * time.Millisecond, "own": ownBound}[c.database]
}

// abandon writes in a transaction that is rolled back, or ends with the session if how is empty.
func (c *session) abandon(client *standin.Client, item, how string) {
	for _, text := range []string{"BEGIN", c.statement("WRITE", item+"-abandoned never"), how} {
		if text == "" {
			c.close()
			return
		}
		if _, a := c.do(client, "main", text); a.Outcome != standin.Done {
			c.rollBack(client)
			return
		}
	}
}

// rollBack ends a transaction that has failed, if it had begun.
func (c *session) rollBack(client *standin.Client) {
	if c.client != nil && c.transaction != "" {
		c.do(client, "main", "ROLLBACK")
	}
}

// departing runs transactions on the route that the next change of the configuration removes.
func (s *Soak) departing(halt <-chan struct{}) {
	c := &session{soak: s, key: mainKey, random: rand.New(rand.NewPCG(s.Seed, 500))}
	defer c.close()
	for n := 0; !halted(halt); n++ {
		s.pause(20 * time.Millisecond)
		if c.client == nil {
			c.database = s.departingDatabase()
		}
		if c.database == "" {
			continue
		}
		client := c.open()
		if client == nil {
			continue
		}
		for _, step := range []string{"BEGIN", "READ departing", fmt.Sprintf("WRITE departing-%d x", n), "COMMIT"} {
			_, a := c.do(client, "main", step)
			if a.Outcome == standin.Denied && step != "BEGIN" {
				s.broken("a transaction keeps its route", "%s at %s: %s", step, c.vm.name, a.Text)
			}
			if a.Outcome != standin.Done {
				c.rollBack(client)
				break
			}
			s.pause(time.Duration(c.random.IntN(200)) * time.Millisecond)
		}
	}
}

// departingDatabase returns the database of the route that the next change of the configuration removes, empty before
// the first one.
func (s *Soak) departingDatabase() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.document.Routes {
		if strings.HasPrefix(r.Database, departingPrefix) {
			return r.Database
		}
	}
	return ""
}

// keeper uses a session now and then, and doesn't close its side until the VM has closed it and is gone.
func (s *Soak) keeper(number int, halt <-chan struct{}) {
	c := &session{soak: s, database: "bounded", key: mainKey, stays: true, random: rand.New(rand.NewPCG(s.Seed, uint64(600+number)))}
	defer c.close()
	for !halted(halt) {
		s.pause(time.Duration(c.random.IntN(800)) * time.Millisecond)
		if c.client != nil && c.client.IsClosed() {
			s.until(stopWithin, func() bool { return halted(halt) || c.vm.wait(0) })
		}
		if client := c.open(); client != nil {
			c.do(client, "main", "READ kept")
		}
	}
}
