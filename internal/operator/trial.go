package operator

import "github.com/savoryramp/savoryramp/internal/upstream"

// Policies are what a trial varies in how requests are served.
type TrialPolicies struct {
	ReadPolicy       upstream.ReadPolicy
	QueueOrder       upstream.QueueOrder
	ConcurrencyLimit upstream.ConcurrencyLimit
}

// RunTrial is Run with other policies than the daemon's own.
func (d *Daemon) RunTrial(p TrialPolicies) error {
	if err := d.prepare(); err != nil {
		return err
	}
	d.components.upstreams.ReadPolicy = p.ReadPolicy
	d.components.upstreams.QueueOrder = p.QueueOrder
	d.components.upstreams.ConcurrencyLimit = p.ConcurrencyLimit
	d.logStarting()
	return d.runGroup(d.actors())
}
