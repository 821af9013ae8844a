package fakeupstream

import (
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// notify tells every move to a client that listens, the newest only.
func (s *session) notify() {
	g := s.server.group
	told := ""
	for s.ctx.Err() == nil {
		g.mu.Lock()
		text, changed := s.server.statusText(), g.changed
		quiet := !s.server.faults.up()
		g.mu.Unlock()
		if text == told || quiet {
			pause(s.ctx, changed, time.Time{})
			continue
		}
		select {
		case s.turn <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		sent := ""
		if s.listening && !s.tx.explicit {
			sent = s.push()
		}
		<-s.turn
		if sent == "" {
			pause(s.ctx, changed, time.Time{})
			continue
		}
		told = sent
	}
}

// push sends the present status as a notification and gives it, or nothing if the
// client is gone.
func (s *session) push() string {
	s.server.group.mu.Lock()
	text := s.server.statusText()
	s.server.group.mu.Unlock()
	s.backend.Send(&pgproto3.NotificationResponse{PID: uint32(s.id), Channel: positionChannel, Payload: text})
	if s.flush() != nil {
		return ""
	}
	return text
}
