package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/savoryramp/savoryramp/internal/load"
	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	overCallers   = 24
	withinCallers = 6
	// stayCallers stay at each VM; all have a request under way when it is resumed.
	stayCallers = 8
	// patience is how long a roaming caller waits for a VM that doesn't answer.
	patience = 2 * time.Second
	// stayPatience is that of a caller that stays, longer than a VM is paused.
	stayPatience = 30 * time.Second
	// visit is how many statements a pressing caller sends to one VM.
	visit = 20
	// Pressing goes in waves, so that unused rate fills up to the burst between them.
	wave  = 6 * time.Second
	crest = 4 * time.Second
	// Pauses between statements.
	pressPause = 10 * time.Millisecond
	pacePause  = 200 * time.Millisecond
	stayPause  = time.Second
	// codeUnreachable stands for a VM that gave no answer to a login.
	codeUnreachable = "unreachable"
)

// person is one caller of the fleet.
type person struct {
	fleet     *Fleet
	workspace platform.WorkspaceName
	number    int
	random    *rand.Rand
	patience  time.Duration
	sent      int
	// vm is where session is; session is nil when there is none.
	vm      int
	session *session
	// served tells that the session has answered.
	served bool
}

func (f *Fleet) newCaller(w platform.WorkspaceName, number int) *person {
	random := rand.New(rand.NewPCG(f.Seed, uint64(number)<<8|uint64(len(w))))
	return &person{fleet: f, workspace: w, number: number, random: random, patience: patience}
}

// press asks as fast as it is answered, in waves, and roams.
func (p *person) press(ctx context.Context) {
	defer p.leave()
	for ctx.Err() == nil {
		if time.Since(p.fleet.began)%wave > crest {
			rest(ctx, pressPause)
			continue
		}
		p.move(p.random.IntN(len(p.fleet.VMs)))
		for range visit {
			if p.write() != acknowledged {
				rest(ctx, pressPause)
				break
			}
		}
	}
}

// pace asks at a steady rate: a write on one VM, a read of it on another.
func (p *person) pace(ctx context.Context) {
	defer p.leave()
	for ctx.Err() == nil {
		home := p.random.IntN(len(p.fleet.VMs))
		p.move(home)
		if p.write() == acknowledged {
			away := (home + 1 + p.random.IntN(len(p.fleet.VMs)-1)) % len(p.fleet.VMs)
			p.move(away)
			p.read()
		}
		rest(ctx, pacePause)
	}
}

// stay asks one VM, over one connection if that is kept, else over a new one each time.
func (p *person) stay(ctx context.Context, vm int, kept bool) {
	defer p.leave()
	p.patience = stayPatience
	p.vm = vm
	for ctx.Err() == nil {
		p.write()
		if !kept {
			p.leave()
		}
		rest(ctx, stayPause)
	}
}

// move leaves for another VM.
func (p *person) move(vm int) {
	p.leave()
	p.vm = vm
}

func (p *person) leave() {
	if p.session != nil {
		p.session.close()
		p.session = nil
	}
}

func (p *person) write() outcome {
	p.sent++
	id := fmt.Sprintf("%s-%d-%d", p.workspace, p.number, p.sent)
	return p.send(id, func(ctx context.Context, _ *request) error {
		_, err := p.session.conn.Exec(ctx, insert, pgx.QueryExecModeExec, id, 1)
		return err
	})
}

// read looks for the last write, which was acknowledged.
func (p *person) read() {
	id := fmt.Sprintf("%s-%d-%d", p.workspace, p.number, p.sent)
	p.send("", func(ctx context.Context, r *request) error {
		found := 0
		err := p.session.conn.QueryRow(ctx, read, pgx.QueryExecModeExec, id).Scan(&found)
		r.stale = err == nil && found != 1
		return err
	})
}

// send runs a statement and notes what was told. It isn't cut off at the end of the
// run, so that its outcome is known.
func (p *person) send(id string, run func(context.Context, *request) error) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), p.patience)
	defer cancel()
	r := request{workspace: p.workspace, id: id, vm: p.vm, sent: time.Now(), told: notRun, code: codeUnreachable}
	err := p.arrive(ctx)
	if err == nil {
		r.sent, r.code, r.open = time.Now(), "", p.served
		err = run(ctx, &r)
		r.told = outcomeOf(err)
	}
	r.done = time.Now()
	if answer := load.ServerError(err); answer != nil {
		r.code = answer.Code
	}
	p.served = true
	if p.session != nil && p.session.conn.IsClosed() {
		p.session = nil
	}
	p.fleet.note(r)
	return r.told
}

// arrive connects unless the person is connected.
func (p *person) arrive(ctx context.Context) error {
	if p.session != nil {
		return nil
	}
	s, err := p.fleet.login(p.workspace).connect(ctx, p.fleet.VMs[p.vm], "")
	if err != nil {
		return err
	}
	p.session, p.served = s, false
	return nil
}

// lastLogins tries a key on each VM at the end and gives the SQLSTATEs, empty for an
// accepted login whose read was answered, by workspace and VM.
func (f *Fleet) lastLogins(ctx context.Context) map[platform.WorkspaceName][]string {
	all := map[platform.WorkspaceName][]string{}
	for _, w := range []platform.WorkspaceName{workspaceWithin, workspaceLeaving} {
		for _, vm := range f.VMs {
			all[w] = append(all[w], lastLogin(ctx, f.login(w), vm))
		}
	}
	return all
}

func lastLogin(ctx context.Context, l login, vm string) string {
	s, err := l.connect(ctx, vm, "")
	if err == nil {
		defer s.close()
		_, err = s.number(ctx, read, "none")
	}
	if err == nil {
		return ""
	}
	if answer := load.ServerError(err); answer != nil {
		return answer.Code
	}
	return codeUnreachable
}
