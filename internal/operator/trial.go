package operator

import "github.com/savoryramp/savoryramp/internal/upstream"

// Policies are what a trial varies in how requests are served.
type Policies struct {
	Reads upstream.ReadPolicy
	Order upstream.Order
	Limit upstream.Limit
}

// RunTrial is Run with other policies than the daemon's own.
func (d *Daemon) RunTrial(p Policies) error {
	if err := d.prepare(); err != nil {
		return err
	}
	d.serving.upstreams.Reads = p.Reads
	d.serving.upstreams.Order = p.Order
	d.serving.upstreams.Limit = p.Limit
	d.logStart()
	return d.runGroup(d.actors())
}
