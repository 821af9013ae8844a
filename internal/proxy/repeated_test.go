package proxy

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// bookkeeper is a caller that checks what it is told against what the servers ran.
type bookkeeper struct {
	*testbed
	random   *rand.Rand
	clients  []*client
	database []DatabaseName
	// values are the session values that were acknowledged to each client.
	values []map[string]string
	// number distinguishes the bookkeepers of a test.
	number int
	// operations counts all, served those that succeeded.
	operations, served int
}

// newBookkeeper opens two sessions for each database.
func newBookkeeper(tb *testbed, seed uint64, number int) *bookkeeper {
	k := &bookkeeper{testbed: tb, random: rand.New(rand.NewPCG(seed, uint64(10+number))), number: number}
	for _, database := range []DatabaseName{testDatabase, boundedDatabase, ownDatabase} {
		for range 2 {
			k.clients, k.database, k.values = append(k.clients, tb.openSession(database)), append(k.database, database), append(k.values, map[string]string{})
		}
	}
	return k
}

// step runs one operation of a random client.
func (k *bookkeeper) step() {
	i := k.random.IntN(len(k.clients))
	c := k.clients[i]
	k.operations++
	text := fmt.Sprint("item-", k.number, "-", k.operations)
	switch n := k.random.IntN(12); {
	case n < 5:
		k.note(k.run(i, Read{Text: "READ " + text}, "READ "+text, false))
	case n < 7:
		k.note(k.write(i, Write{Text: "WRITE " + text}, "WRITE "+text))
	case n == 7:
		plan := Plan{Shape: fmt.Sprint("shape-", k.operations%7)}
		c.exec(Prepare{Name: "s1", Plan: plan})
		k.note(k.run(i, Execute{Name: "s1", Arguments: text}, "EXECUTE "+plan.Shape+" "+text, false))
	case n == 8:
		name := fmt.Sprint("name-", k.random.IntN(3))
		if c.exec(Set{Name: name, Value: text}).Succeeded() {
			k.values[i][name] = text
		}
		k.operations--
	default:
		k.note(k.transaction(i, text, n == 9))
	}
	time.Sleep(time.Duration(k.random.IntN(3)) * time.Millisecond)
}

func (k *bookkeeper) note(succeeded bool) {
	if succeeded {
		k.served++
	}
}

// run runs a statement that a server must answer, and reports whether it succeeded.
func (k *bookkeeper) run(i int, s Statement, text string, inTransaction bool) bool {
	a := k.clients[i].exec(s)
	if !a.Succeeded() {
		k.mu.Lock()
		defer k.mu.Unlock()
		assert.Check(k.t, k.committed[text] == 0 || !saysNotRun(a.Failure), "%s was refused with %s and committed", text, a.Failure)
		return false
	}
	id := k.clients[i].last
	assert.Check(k.t, a.Digest == "d-"+string(id), "%s %s at %s got the answer %q", id, text, k.database[i], a.Digest)
	if text == "COMMIT" {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, entry := range k.executed {
		if strings.HasSuffix(entry, " "+text) {
			assert.Check(k.t, strings.Contains(entry, fmt.Sprint(" ", k.values[i], " ")), "%s ran as %q, the session's values are %v", text, entry, k.values[i])
		}
	}
	assert.Check(k.t, !inTransaction || k.inTransaction[text] > 0, "%s ran outside its transaction", text)
	return true
}

// write runs a single write and reports whether it succeeded.
func (k *bookkeeper) write(i int, s Statement, text string) bool {
	succeeded := k.run(i, s, text, false)
	k.mu.Lock()
	defer k.mu.Unlock()
	assert.Check(k.t, !succeeded || k.committed[text] == 1, "%s was acknowledged and committed %d times", text, k.committed[text])
	return succeeded
}

// transaction runs a transaction with a read and a write, and reports whether it ended as asked for.
func (k *bookkeeper) transaction(i int, text string, rollsBack bool) bool {
	c := k.clients[i]
	began := c.exec(Begin{})
	if !began.Succeeded() {
		return false
	}
	ok := k.run(i, Read{Text: "READ " + text}, "READ "+text, true) && k.run(i, Write{Text: "WRITE " + text}, "WRITE "+text, true)
	if rollsBack || !ok {
		c.exec(Rollback{})
		k.mu.Lock()
		defer k.mu.Unlock()
		assert.Check(k.t, k.committed["WRITE "+text] == 0, "the transaction of %s was rolled back and committed", text)
		return ok
	}
	a := c.exec(Commit{})
	id := c.last
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.committed["WRITE "+text]
	switch {
	case a.Succeeded():
		assert.Check(k.t, a.Digest == "d-"+string(id), "the commit %s got the answer %q", id, a.Digest)
		assert.Check(k.t, n == 1, "the commit of %s was acknowledged and done %d times", text, n)
	case saysNotRun(a.Failure):
		assert.Check(k.t, n == 0, "the commit of %s was refused with %s and done", text, a.Failure)
	}
	return a.Succeeded()
}

// saysNotRun reports whether a failure promises that nothing of the operation is kept.
func saysNotRun(f Failure) bool {
	return f == Busy || f == Aborted || f == Lagging || f == NotPrimary
}

// audit checks the writes that were refused at the time or of unknown outcome.
func (k *bookkeeper) audit() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for text, n := range k.committed {
		assert.Check(k.t, n <= 1, "%s was committed %d times", text, n)
	}
}

// TestRepeatedAnswers guards against callers that get an answer other than their own, writes that run although
// they were refused, and statements that run outside their transaction or with another session's values: a
// server sent an answer again while another command was outstanding on the connection.
func TestRepeatedAnswers(t *testing.T) {
	isInternal := func(c Command) bool { _, forwards := c.(Forward); return !forwards }
	for name, test := range map[string]struct {
		stutter stutter
		// refused is the share of statements that the servers refuse.
		refused float64
		// share is that of the answers that are repeated, a tenth if it is zero.
		share float64
	}{
		"statements":           {stutter: stutter{repeats: func(c Command, _ Answer) bool { return !isInternal(c) }}},
		"commands of the VM":   {stutter: stutter{repeats: func(c Command, _ Answer) bool { return isInternal(c) }}},
		"refusals":             {stutter: stutter{repeats: func(_ Command, a Answer) bool { return !a.Succeeded() }}, refused: .03, share: .5},
		"rewritten refusals":   {stutter: stutter{repeats: func(_ Command, a Answer) bool { return !a.Succeeded() }, rewrites: true}, refused: .03, share: .5},
		"rare refusals":        {stutter: stutter{repeats: func(_ Command, a Answer) bool { return !a.Succeeded() }, rewrites: true}, refused: .03, share: .02},
		"rare pieces":          {stutter: stutter{repeats: func(Command, Answer) bool { return true }, together: maxTogether}, refused: .03, share: .01},
		"several in one piece": {stutter: stutter{repeats: func(Command, Answer) bool { return true }, together: 4}, refused: .03},
		"all, rewritten":       {stutter: stutter{repeats: func(Command, Answer) bool { return true }, rewrites: true}, refused: .03},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(8) {
				runTest(t, func(tb *testbed) {
					s := test.stutter
					s.random, s.share, s.late = rand.New(rand.NewPCG(seed, 3)), .1, 500*time.Millisecond
					s.atNext = .5
					if test.share > 0 {
						s.share = test.share
					}
					if seed%2 == 0 {
						s.late = 20 * time.Millisecond
					}
					tb.mu.Lock()
					tb.stutter = &s
					refusals := rand.New(rand.NewPCG(seed, 4))
					for _, server := range tb.servers {
						server.fault = func(c Command) fault {
							if c != nil && !isInternal(c) && refusals.Float64() < test.refused {
								return refuseBusy
							}
							return faultNone
						}
					}
					tb.mu.Unlock()
					// Several callers at once use connections again while answers may be under way.
					var keepers []*bookkeeper
					var tasks sync.WaitGroup
					for number := range 3 {
						k := newBookkeeper(tb, seed, number)
						keepers = append(keepers, k)
						tasks.Go(func() {
							for range 150 {
								k.step()
							}
						})
					}
					tasks.Wait()
					operations, served := 0, 0
					for _, k := range keepers {
						operations, served = operations+k.operations, served+k.served
					}
					keepers[0].audit()
					t.Logf("seed %d: %d of %d served", seed, served, operations)
					assert.Check(t, float64(served) >= .95*float64(operations), "seed %d: %d of %d served", seed, served, operations)
				})
			}
		})
	}
}

// isBegin reports whether an answer is that to a begin.
func isBegin(c Command, _ Answer) bool { _, begins := c.(BeginAt); return begins }

// TestRepeatedBegins guards against statements that run outside their transaction: a begin was refused at a server that
// had lost the lead, and the answer to an earlier begin arrived again before the refusal.
func TestRepeatedBegins(t *testing.T) {
	for seed := range uint64(8) {
		runTest(t, func(tb *testbed) {
			c := tb.openSession(testDatabase)
			tb.mu.Lock()
			tb.stutter = &stutter{random: rand.New(rand.NewPCG(seed, 1)), share: 1, late: 40 * time.Millisecond, repeats: isBegin}
			tb.mu.Unlock()
			successor := map[ServerID]ServerID{"a": "b", "b": "c", "c": "a"}
			for i := range 100 {
				if i%10 == 5 {
					tb.mu.Lock()
					primary := tb.primary
					tb.mu.Unlock()
					tb.promote(successor[primary])
				}
				text := fmt.Sprint("READ tx-", i)
				c.exec(Begin{})
				c.exec(Read{Text: text})
				c.exec(Rollback{})
				tb.mu.Lock()
				inTransaction := tb.inTransaction[text]
				tb.mu.Unlock()
				assert.Check(t, tb.countRuns(text) == inTransaction, "seed %d: %s ran outside its transaction", seed, text)
			}
		})
	}
}
