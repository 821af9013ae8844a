package placement

// Region is a group of availability zones in which data may have to stay.
type Region string

// Regions has the regions that a route and a workspace allow, each as a set, nil if it allows all.
// Unknown regions, which are empty, are in no set.
type Regions struct{ Route, Workspace map[Region]bool }

// Allow reports whether both allow a region.
func (r Regions) Allow(region Region) bool {
	return (r.Route == nil || r.Route[region] && region != "") && (r.Workspace == nil || r.Workspace[region] && region != "")
}

// IsLimited reports whether any region isn't allowed.
func (r Regions) IsLimited() bool { return r.Route != nil || r.Workspace != nil }

// MaxRetry is when callers should return whose request no server in the allowed regions can run: only
// a promotion or the operator changes that.
const MaxRetry = maxRetry
