package operator

import "github.com/savoryramp/savoryramp/internal/upstream"

// Policies are what a trial varies in how requests are served.
type Policies struct {
	Reads upstream.ReadPolicy
	Order upstream.QueueOrder
	Limit upstream.ConcurrencyLimit
}

// RunTrial is Run with other policies than the daemon's own.
func (d *Daemon) RunTrial(p Policies) error {
	if err := d.prepare(); err != nil {
		return err
	}
	d.serving.upstreams.ReadPolicy = p.Reads
	d.serving.upstreams.QueueOrder = p.Order
	d.serving.upstreams.ConcurrencyLimit = p.Limit
	d.logStart()
	return d.runGroup(d.actors())
}
