package heartbeat

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

// Directory stores the VMs' addresses, so that a starting VM finds the others.
type Directory interface {
	// Register returns the era of the store that has the entry.
	Register(ctx context.Context, vm VMName, entry Entry) (StoreEra, error)
	List(ctx context.Context) (map[VMName]Entry, error)
	Remove(ctx context.Context, vm VMName) error
}

// Entry is a VM's entry in the directory.
type Entry struct {
	// Address is where the VM receives heartbeats.
	Address string `json:"address"`
	// Zone and LinkMbps are as in Message. They are empty if they aren't known.
	Zone     string  `json:"zone,omitempty"`
	LinkMbps float64 `json:"link,omitempty"`
}

// NoteStoreEra records an era of the store that has the directory. If it is newer than that of this
// VM's entry, the entry may be lost and is registered again.
func (f *Fleet) NoteStoreEra(era StoreEra) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if era <= f.storeEra {
		return
	}
	if f.storeEra != 0 {
		f.restoredAt = clock.Now()
	}
	f.storeEra = era
	if f.isEntryLost() {
		select {
		case f.entryLost <- struct{}{}:
		default:
		}
	}
}

// storeMayBeBehind reports whether the store may deliver less than other VMs know: to a starting VM,
// which doesn't know whether the store was restored, and soon after a restore.
func (f *Fleet) storeMayBeBehind() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isStarting() || f.restoredAt != 0 && clock.Since(f.restoredAt) < rewriteTime
}

// isEntryLost reports whether the store was restored after this VM registered. f.mu must be held.
func (f *Fleet) isEntryLost() bool {
	return f.isRegistered && !f.isLeaving && f.registeredEra < f.storeEra
}

// maintainDirectory registers this VM in the directory, and reads the addresses of the others
// periodically.
func (f *Fleet) maintainDirectory(ctx context.Context) {
	listDue := true
	for pause := sendCheckInterval; ctx.Err() == nil; {
		err := f.register(ctx)
		var list map[VMName]Entry
		if err == nil && listDue {
			list, err = f.Directory.List(ctx)
		}
		if err != nil && ctx.Err() == nil {
			eventDirectoryUnavailable.Log(f.Logger, "err", err)
			pause = min(2*pause, time.Second)
		} else {
			pause = directoryReadInterval
			if listDue {
				f.addListedPeers(list)
			}
			if !f.IsZoneDelegate() {
				pause *= delegatesPerZone * delegatesPerZone
			}
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-timer.C:
			listDue = true
		case <-f.entryLost:
			clock.Sleep(ctx, rand.N(reregisterSpread))
			// Delegates find VMs that have started meanwhile.
			listDue = f.IsZoneDelegate()
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// register registers this VM in the directory, unless it is there already or is leaving.
func (f *Fleet) register(ctx context.Context) error {
	f.mu.Lock()
	needed := !f.isLeaving && (!f.isRegistered || f.isEntryLost())
	f.mu.Unlock()
	if !needed {
		return nil
	}
	era, err := f.Directory.Register(ctx, f.VM, Entry{Address: f.Conn.LocalAddr().String(), Zone: f.Zone, LinkMbps: f.LinkMbps})
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isRegistered, f.registeredEra, f.storeEra = true, era, max(f.storeEra, era)
	return nil
}

// addListedPeers adds the VMs of the directory.
func (f *Fleet) addListedPeers(list map[VMName]Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directoryRead = true
	f.listedPeers = len(list)
	if _, listed := list[f.VM]; listed {
		f.listedPeers--
	}
	f.addPeers(list)
}

// addPeers adds VMs, and updates the addresses of those that aren't live. It returns the addresses of
// the added ones. f.mu must be held.
func (f *Fleet) addPeers(list map[VMName]Entry) (added []string) {
	for name, entry := range list {
		if name == f.VM {
			continue
		}
		p := f.peers[name]
		if p == nil {
			p = &peer{addedAt: clock.Now()}
			f.peers[name] = p
			added = append(added, entry.Address)
		}
		if p.lastSeen == 0 {
			p.message.Zone, p.message.LinkMbps = entry.Zone, entry.LinkMbps
		}
		if !p.live {
			p.address = entry.Address
		}
	}
	return added
}
