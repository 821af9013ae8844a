package quota

// Source is the last report of a VM, or of the VMs of an availability zone together, to a VM that adds
// up the demand of all VMs.
type Source struct {
	Demand Demand
	// Total is the demand of all VMs when the report arrived. It is nil if it wasn't known.
	Total Demand
}

// maxSilentPart is the largest part of a rate that silent sources keep. Above it, their number says more
// of the VM that adds up than of them.
const maxSilentPart = 0.9

// silentMargin is the fraction by which the part of silent sources counts as larger, since it is an
// estimate. It also makes up for what was admitted until their silence was noticed.
const silentMargin = 0.4

// SilentDemand returns the demand to count for sources that have fallen silent, given the demand of all
// other VMs. The silent ones may not hear the others either and then keep their shares, so that they count
// for the same part of the total as before, however the others' demand changes.
func SilentDemand(others Demand, silent []Source) Demand {
	sum, total := Demand{}, Demand{}
	for i, s := range silent {
		for workspace, amount := range s.Demand {
			sum[workspace] += amount
		}
		for workspace, amount := range s.Total {
			if before, found := total[workspace]; i == 0 || found && amount < before {
				total[workspace] = amount
			}
		}
	}
	for workspace, amount := range sum {
		if total[workspace] > amount && others[workspace] > 0 {
			part := min(amount/total[workspace], maxSilentPart)
			sum[workspace] = others[workspace] * (part/(1-part) + silentMargin*part)
		}
	}
	return sum
}
