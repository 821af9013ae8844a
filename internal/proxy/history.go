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

// note remembers an answer and reports whether the same was received before, except for the transaction
// state and position, and whether these were the same too.
func (h *answerHistory) note(a Answer) (seen, identical bool) {
	content := answerContent(a)
	if content == "" {
		return false, false
	}
	seen = h.noteText(content)
	if a.Succeeded() && len(a.Rows) == 0 || a.Digest != "" && a.Digest != completedWithoutDigest {
		// A digest tells one answer from all others.
		return seen, seen
	}
	return seen, h.noteText(content + "\x00" + string(a.Phase) + " " + a.Position.String())
}

// noteText remembers a text and reports whether it was known.
func (h *answerHistory) noteText(text string) bool {
	hash := xxhash.Sum64String(text)
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
// before is the transaction state of the connection when the command was sent. identical reports that an
// unclear answer was received before with the same transaction state and position.
func (h *answerHistory) attribute(command Command, before Phase, a Answer) (whose attribution, identical bool) {
	seen, identical := h.note(a)
	hasDigest := a.Digest != "" && a.Digest != completedWithoutDigest
	switch {
	case a.Succeeded() && a.Digest == "":
		// Only the start of a session is answered so.
		return repeatedAnswer, false
	case !a.Succeeded() && seen:
		return unclearAnswer, identical
	case !a.Succeeded():
		return ownAnswer, false
	case hasDigest && seen:
		return repeatedAnswer, false
	}
	switch c := command.(type) {
	case Forward:
		switch {
		case !hasDigest:
			return repeatedAnswer, false
		case a.Phase != phaseAfter(command, before):
			return lateAnswer, false
		}
		return ownAnswer, false
	case QueryStatus, Demote, PauseReceiving, ResumeReceiving:
		switch {
		case hasDigest:
			return lateAnswer, false
		case len(a.Rows) == 0:
			return repeatedAnswer, false
		case seen:
			return unclearAnswer, identical
		}
		return ownAnswer, false
	case BeginAt:
		if !hasDigest && !c.Floor.IsZero() && !a.Position.Covers(c.Floor) {
			return repeatedAnswer, false
		}
	}
	switch {
	case hasDigest:
		return lateAnswer, false
	case len(a.Rows) > 0 || a.Phase != phaseAfter(command, before):
		return repeatedAnswer, false
	}
	return ownAnswer, false
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
