package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Each answer to a read of a long item has longRows rows of rowBytes bytes.
	longRows, rowBytes = 250, 10 << 10
	// readersPerZone callers in each of the three zones read long items.
	readersPerZone = 100
	// Callers read slowly for slowFor out of slowEvery, the first time after slowAt: they read nothing of an answer for
	// restFor. A caller sends its next request thinkTime after an answer.
	slowAt    = 5 * time.Second
	slowFor   = 6500 * time.Millisecond
	slowEvery = 14 * time.Second
	restFor   = 4500 * time.Millisecond
	thinkTime = 4500 * time.Millisecond
	// restartDelay is the platform's after a process's end.
	restartDelay = 500 * time.Millisecond
	memoryEnds   = 90 * time.Second
	// endsNeeded on vmsNeeded VMs are a fault of the day.
	endsNeeded, vmsNeeded = 3, 2
)

// playMemory has callers read their answers slowly now and then. No process may exceed its machine's memory, at which
// the platform kills it.
func playMemory(r *record, trouble bool) int {
	row := strings.Repeat("x", rowBytes)
	rows := make([]string, longRows)
	for i := range rows {
		rows[i] = row
	}
	w := &world{record: r, group: &group{work: 4 * time.Millisecond, applyLag: 8 * time.Millisecond, connections: 23, rowsOf: func(item string) []string {
		if strings.HasPrefix(item, "long") {
			return rows
		}
		return nil
	}}}
	defer w.end(keepLogs())
	if err := w.start(3); err != nil {
		r.say("can't run: %s", err)
		return failed
	}
	halt := make(chan struct{})
	var tasks sync.WaitGroup
	var served, refused atomic.Int64
	began := time.Now()
	isSlow := func() bool {
		t := time.Since(began) - slowAt
		return trouble && t >= 0 && t%slowEvery < slowFor
	}
	for i := range 3 * readersPerZone {
		tasks.Go(func() { w.readLong(i, isSlow, halt, &served, &refused) })
	}
	for _, v := range w.vms {
		tasks.Go(func() { w.guardMemory(v, halt) })
	}
	for until := time.Now().Add(memoryEnds); time.Now().Before(until) && w.worn() < vmsNeeded; {
		time.Sleep(100 * time.Millisecond)
	}
	close(halt)
	tasks.Wait()
	r.say("%d answers read, %d requests refused or cut", served.Load(), refused.Load())
	for _, v := range w.vms {
		r.say("%s exceeded its memory %d times", v.name, v.ends)
	}
	if w.worn() >= vmsNeeded {
		r.say("Fault: on %d of %d machines the process ended %d times or more by itself", w.worn(), len(w.vms), endsNeeded)
		return broken
	}
	return held
}

// worn returns how many VMs' processes have ended so often that it is a fault.
func (w *world) worn() int {
	n := 0
	for _, v := range w.vms {
		v.mu.Lock()
		if v.ends >= endsNeeded {
			n++
		}
		v.mu.Unlock()
	}
	return n
}

// guardMemory kills a VM's process when it exceeds its memory, as the platform does, and starts it again.
func (w *world) guardMemory(v *vm, halt chan struct{}) {
	peak := 0
	for {
		select {
		case <-halt:
			w.record.say("%s: peak memory since its start %d MB of %d", v.name, peak, memoryMB)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := v.residentMB()
		peak = max(peak, used)
		if used <= memoryMB {
			continue
		}
		w.record.say("%s: the process has %d MB, the limit is %d MB: killed", v.name, used, memoryMB)
		peak = 0
		v.kill()
		time.Sleep(restartDelay)
		if err := v.start(); err != nil {
			w.record.say("%s doesn't start again: %s", v.name, err)
			return
		}
	}
}

// readLong reads a long item until the run ends. While isSlow is true, it reads nothing of an answer for a while.
func (w *world) readLong(i int, isSlow func() bool, halt chan struct{}, served, refused *atomic.Int64) {
	wait := thinkTime * time.Duration(i) / (3 * readersPerZone)
	for n := 0; ; n++ {
		select {
		case <-halt:
			return
		case <-time.After(wait):
		}
		wait = thinkTime
		v := w.vms[i%len(w.vms)]
		c, code := dial(v.callers(), boundedDatabase, tenantKey(1+i%tenantCount), 2*time.Second)
		if c == nil {
			refused.Add(1)
			w.record.add("client %d: no session at %s: %s", i, v.name, code)
			wait = 200 * time.Millisecond
			continue
		}
		id := fmt.Sprintf("r%d.%d", i, n)
		w.record.add("client %d: QUERY %s READ long-%d at %s", i, id, i, v.name)
		_ = c.net.SetDeadline(time.Now().Add(10 * time.Second))
		err := c.send(id, fmt.Sprint("READ long-", i))
		if err == nil && isSlow() {
			time.Sleep(restFor)
		}
		a := c.receive()
		if a.code == "" {
			served.Add(1)
		} else {
			refused.Add(1)
		}
		w.record.add("client %d: %s answered: %s, %d rows", i, id, a, len(a.rows))
		c.close()
	}
}
