package proxy

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/position"
)

// TestAttribution guards against an answer that is taken for that of a command to which it doesn't belong.
func TestAttribution(t *testing.T) {
	at := func(offset position.Offset) position.Position { return position.Position{Term: 1, Offset: offset} }
	read, commit := Forward{ID: "r", Statement: Read{Text: "READ x"}}, Forward{ID: "c", Statement: Commit{}}
	lagging := Answer{Failure: Lagging, Detail: "i-1", Phase: Idle, Position: at(3)}
	for name, test := range map[string]struct {
		// before was received earlier on the connection.
		before  []Answer
		command Command
		phase   Phase
		answer  Answer
		want    attribution
	}{
		"a statement's first answer":             {command: read, phase: Idle, answer: Answer{Digest: "d", Phase: Idle}, want: ownAnswer},
		"a digest that was received before":      {before: []Answer{{Digest: "d", Phase: Idle}}, command: read, phase: Idle, answer: Answer{Digest: "d", Phase: Idle}, want: repeatedAnswer},
		"the same with another state":            {before: []Answer{{Digest: "d", Phase: InTransaction}}, command: read, phase: Idle, answer: Answer{Digest: "d", Phase: Idle, Position: at(1)}, want: repeatedAnswer},
		"a command of the VM for a statement":    {command: read, phase: Idle, answer: Answer{Digest: "-", Phase: Idle}, want: repeatedAnswer},
		"the start of the session":               {command: read, phase: Idle, answer: Answer{Phase: Idle}, want: repeatedAnswer},
		"a statement outside its transaction":    {command: read, phase: InTransaction, answer: Answer{Digest: "d", Phase: Idle}, want: lateAnswer},
		"a commit":                               {command: commit, phase: InTransaction, answer: Answer{Digest: "d", Phase: Idle}, want: ownAnswer},
		"a statement before the commit":          {command: commit, phase: InTransaction, answer: Answer{Digest: "d", Phase: InTransaction}, want: lateAnswer},
		"a first refusal":                        {command: read, phase: Idle, answer: lagging, want: ownAnswer},
		"the same refusal":                       {before: []Answer{lagging}, command: read, phase: Idle, answer: lagging, want: unclearAnswer},
		"the same refusal at another position":   {before: []Answer{{Failure: Lagging, Detail: "i-1", Phase: Idle, Position: at(2)}}, command: read, phase: Idle, answer: lagging, want: unclearAnswer},
		"another refusal":                        {before: []Answer{lagging}, command: read, phase: Idle, answer: Answer{Failure: Busy, Phase: Idle}, want: ownAnswer},
		"a begin":                                {command: BeginAt{}, phase: Idle, answer: Answer{Digest: "-", Phase: InTransaction}, want: ownAnswer},
		"a reset for a begin":                    {command: BeginAt{}, phase: Idle, answer: Answer{Digest: "-", Phase: Idle}, want: repeatedAnswer},
		"a begin at a lower position":            {command: BeginAt{Floor: at(4)}, phase: Idle, answer: Answer{Digest: "-", Phase: InTransaction, Position: at(3)}, want: repeatedAnswer},
		"a begin for a rollback":                 {command: Abandon{}, phase: InTransaction, answer: Answer{Digest: "-", Phase: InTransaction}, want: repeatedAnswer},
		"a statement for a rollback":             {command: Abandon{}, phase: InTransaction, answer: Answer{Digest: "d", Phase: Idle}, want: lateAnswer},
		"a repeated statement for a rollback":    {before: []Answer{{Digest: "d"}}, command: Abandon{}, phase: InTransaction, answer: Answer{Digest: "d", Phase: Idle}, want: repeatedAnswer},
		"a status for a value":                   {command: Assign{}, phase: Idle, answer: Answer{Digest: "-", Rows: []string{"primary"}, Phase: Idle}, want: repeatedAnswer},
		"a status":                               {command: QueryStatus{}, phase: Idle, answer: Answer{Digest: "-", Rows: []string{"primary 1"}, Phase: Idle}, want: ownAnswer},
		"a status that was received before":      {before: []Answer{{Digest: "-", Rows: []string{"primary 1"}, Phase: Idle}}, command: Demote{}, phase: Idle, answer: Answer{Digest: "-", Rows: []string{"primary 1"}, Phase: Idle}, want: unclearAnswer},
		"a command of the VM without a status":   {command: QueryStatus{}, phase: Idle, answer: Answer{Digest: "-", Phase: Idle}, want: repeatedAnswer},
		"a statement for a status":               {command: QueryStatus{}, phase: Idle, answer: Answer{Digest: "d", Phase: Idle}, want: lateAnswer},
		"a refusal of a begin at another server": {before: []Answer{{Failure: NotPrimary, Detail: "i-1"}}, command: BeginAt{}, phase: Idle, answer: Answer{Failure: NotPrimary, Detail: "i-1", Phase: Idle}, want: unclearAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			var h answerHistory
			for _, a := range test.before {
				h.note(a)
			}
			assert.Equal(t, h.attribute(test.command, test.phase, test.answer), test.want)
		})
	}
}
