package operator

import "github.com/savoryramp/savoryramp/internal/upstream"

// TrialPolicies holds the policies that a load trial can replace.
type TrialPolicies struct {
	ReadPolicy       upstream.ReadPolicy
	QueueOrder       upstream.QueueOrder
	ConcurrencyLimit upstream.ConcurrencyLimit
}

// RunTrial runs the daemon like Run, but with the given policies instead of the defaults.
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
