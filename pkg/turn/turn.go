// Package turn orders those who wait for something scarce, fairly between workspaces.
package turn

// Queue serves the workspaces that wait by deficit round robin: each sends as many in its
// turn as its weight says, in the order in which they came. The zero value is ready.
// It isn't safe for use by several tasks at once.
type Queue struct {
	// lines has the workspaces with waiting tickets, in the order of their turns.
	lines []*line
	size  int
}

// line is one workspace's part of a queue.
type line struct {
	workspace string
	tickets   []*Ticket
	weight    int
	// deficit is how many more tickets the line may send in its turn.
	deficit int
}

// Ticket is one place in a queue.
type Ticket struct {
	// Value is what was granted; it is read after Granted is closed.
	Value   any
	granted chan struct{}
	// left tickets are no longer in the queue.
	left bool
}

// Granted is closed once the ticket's turn has come.
func (t *Ticket) Granted() <-chan struct{} { return t.granted }

// Grant hands the value over. It is called once, on a ticket that Pop gave.
func (t *Ticket) Grant(value any) {
	t.Value = value
	close(t.granted)
}

// Len is how many wait.
func (q *Queue) Len() int { return q.size }

// Push adds a ticket; a weight below 1 counts as 1.
func (q *Queue) Push(workspace string, weight int) *Ticket {
	t := &Ticket{granted: make(chan struct{})}
	l := q.line(workspace, max(weight, 1))
	l.tickets = append(l.tickets, t)
	q.size++
	return t
}

func (q *Queue) line(workspace string, weight int) *line {
	for _, l := range q.lines {
		if l.workspace == workspace {
			return l
		}
	}
	l := &line{workspace: workspace, weight: weight, deficit: weight}
	q.lines = append(q.lines, l)
	return l
}

// Pop takes out the ticket whose turn it is, nil if nobody waits.
func (q *Queue) Pop() *Ticket {
	for len(q.lines) > 0 {
		l := q.lines[0]
		for len(l.tickets) > 0 && l.tickets[0].left {
			l.tickets = l.tickets[1:]
		}
		if len(l.tickets) == 0 {
			q.lines = q.lines[1:]
			continue
		}
		if l.deficit == 0 {
			l.deficit = l.weight
			q.lines = append(q.lines[1:], l)
			continue
		}
		t := l.tickets[0]
		l.tickets = l.tickets[1:]
		l.deficit--
		q.size--
		t.left = true
		return t
	}
	return nil
}

// Remove takes a ticket out whose owner gave up; false if its turn had come before.
func (q *Queue) Remove(t *Ticket) bool {
	if t.left {
		return false
	}
	t.left = true
	q.size--
	return true
}
