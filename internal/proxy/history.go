package proxy

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// attribution says whether an answer is that of the oldest unanswered command on a connection.
type attribution string

const (
	// ownAnswer is the command's. For a command that is completed without a digest of its own this is only
	// provisional: an earlier such answer may look the same.
	ownAnswer attribution = "own"
	// repeatedAnswer isn't the command's: it was received before, or has a form that no answer to the command
	// has.
	repeatedAnswer attribution = "repeated"
	// lateAnswer isn't the command's either, but a statement's that wasn't received before. An earlier answer
	// was taken for that statement's.
	lateAnswer attribution = "late"
	// unclearAnswer may be the command's or a repeated one.
	unclearAnswer attribution = "unclear"
)

// completedWithoutDigest is the digest of answers to commands of the proxy itself.
const completedWithoutDigest = "-"

// maxHistory is how many answers a connection remembers. A connection that has received more is replaced
// when it is released: 1 of 1000 statements opens a connection then, and comparing takes below a microsecond.
const maxHistory = 1024

// answerHistory remembers what was received on a server's connection. Answers carry no request ID, and a
// server may send one again, late, while another command is outstanding. An answer that differs from all
// earlier ones isn't a repeated one, and as servers answer in order, it is then that of the oldest unanswered
// command. Digests differ for each run of a statement.
type answerHistory struct {
	// contents has the hashes of digests, failures and statuses received so far.
	contents []uint64
}

// isFull reports whether the connection should be replaced.
func (h *answerHistory) isFull() bool { return len(h.contents) >= maxHistory }

// note remembers an answer and reports whether it was received before. The transaction state and position aren't
// compared: a server may send the present ones with a repeated answer.
func (h *answerHistory) note(a Answer) bool {
	content := answerContent(a)
	if content == "" {
		return false
	}
	hash := xxhash.Sum64String(content)
	if slices.Contains(h.contents, hash) {
		return true
	}
	h.contents = append(h.contents, hash)
	return false
}

// answerContent returns what tells an answer from others, empty if nothing does.
func answerContent(a Answer) string {
	switch {
	case !a.Succeeded():
		return "failure " + string(a.Failure) + " " + a.Detail
	case a.Digest != "" && a.Digest != completedWithoutDigest:
		return "digest " + a.Digest
	case len(a.Rows) > 0:
		return "status " + strings.Join(a.Rows, "\n")
	}
	return ""
}

// attribute decides whose an answer is that was received while a command was the oldest unanswered one.
// before is the transaction state of the connection when the command was sent.
func (h *answerHistory) attribute(command Command, before Phase, a Answer) attribution {
	seen := h.note(a)
	hasDigest := a.Digest != "" && a.Digest != completedWithoutDigest
	switch {
	case a.Succeeded() && a.Digest == "":
		// Only the start of a session is answered so.
		return repeatedAnswer
	case !a.Succeeded() && seen:
		return unclearAnswer
	case !a.Succeeded():
		return ownAnswer
	case hasDigest && seen:
		return repeatedAnswer
	}
	switch c := command.(type) {
	case Forward:
		switch {
		case !hasDigest:
			return repeatedAnswer
		case a.Phase != phaseAfter(command, before):
			return lateAnswer
		}
		return ownAnswer
	case QueryStatus, Demote, PauseReceiving, ResumeReceiving:
		switch {
		case hasDigest:
			return lateAnswer
		case len(a.Rows) == 0:
			return repeatedAnswer
		case seen:
			return unclearAnswer
		}
		return ownAnswer
	case BeginAt:
		if !hasDigest && !c.Floor.IsZero() && !a.Position.Covers(c.Floor) {
			return repeatedAnswer
		}
	}
	switch {
	case hasDigest:
		return lateAnswer
	case len(a.Rows) > 0 || a.Phase != phaseAfter(command, before):
		return repeatedAnswer
	}
	return ownAnswer
}

// phaseAfter returns the transaction state after a command that has succeeded.
func phaseAfter(c Command, before Phase) Phase {
	switch c := c.(type) {
	case BeginAt:
		return InTransaction
	case Abandon:
		return Idle
	case Forward:
		if _, commits := c.Statement.(Commit); commits {
			return Idle
		}
	}
	return before
}
