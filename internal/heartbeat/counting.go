package heartbeat

import (
	"math"
	"time"

	"github.com/savoryramp/savoryramp/internal/clock"
)

const (
	// maxCountingTime is how long a zone's demand counts at most as what it was before the others counted it. A
	// zone that counts none of it for that long doesn't receive the digests.
	maxCountingTime = 2 * time.Second
	// zoneGrowthFactor is how much more than the others count of a zone's demand may count. It leaves room for
	// changes from one digest to the next at steady demand.
	zoneGrowthFactor = 1.05
	// minCountedFraction is the least fraction of a zone's demand that counts.
	minCountedFraction = 0.125
)

// zoneCounting tracks which digests of this zone the other zones count. Until all of them count an increase of
// this zone's demand, its VMs together have the part of the rates that they had before.
type zoneCounting struct {
	// number is that of the latest digest, published has the latest digests' demand, oldest first.
	number    uint32
	published []publishedTotal
	// counted has, by zone, the number of the latest digest whose demand is in a view of this VM,
	// countedByZone the number of the latest digest of this zone that the other zone counts.
	counted, countedByZone map[string]uint32
}

// publishedTotal is the demand of this zone in a digest.
type publishedTotal struct {
	number uint32
	total  map[string]float64
	at     clock.Instant
}

// publish records the demand in the next digest and returns its number.
func (c *zoneCounting) publish(total map[string]float64, now clock.Instant) uint32 {
	c.number++
	c.published = append(c.published, publishedTotal{c.number, total, now})
	for now.Sub(c.published[0].at) > maxCountingTime {
		c.published = c.published[1:]
	}
	return c.number
}

// countedSince returns the digests of this zone that some of the given zones may count, oldest first.
func (c *zoneCounting) countedSince(zones []string) []publishedTotal {
	first := len(c.published) - 1
	for _, zone := range zones {
		i := len(c.published) - 1
		for i > 0 && c.published[i].number != c.countedByZone[zone] {
			i--
		}
		first = min(first, i)
	}
	return c.published[max(first, 0):]
}

// viewDemand returns the total to tell this zone's VMs, given the demand of this zone and the total. It is
// larger than that if zones still count less of this zone's demand, so that the VMs' shares add up to
// what those zones leave.
func (c *zoneCounting) viewDemand(own, total map[string]float64, zones []string) map[string]float64 {
	digests := c.countedSince(zones)
	for workspace, amount := range own {
		counted := amount
		for _, d := range digests {
			counted = min(counted, zoneGrowthFactor*d.total[workspace])
		}
		if counted >= amount {
			continue
		}
		counted = max(counted, minCountedFraction*amount)
		others := max(total[workspace]-amount, 0)
		total[workspace] = math.Ceil(100*amount*(counted+others)/counted) / 100
	}
	return total
}
