package load

import (
	"github.com/savoryramp/savoryramp/internal/operator"
	"github.com/savoryramp/savoryramp/internal/upstream"
)

// The baselines: what a user would have without savoryramp's choice of servers.
const (
	// BaselineNone is savoryramp's own choice.
	BaselineNone = "none"
	// BaselinePrimary sends all to the primary.
	BaselinePrimary = "primary-only"
	// BaselineNaive sends reads to any replica, whatever its position.
	BaselineNaive = "naive-splitter"
)

// PoliciesOf gives the policies of a baseline, an order of queues and a limit. ErrSetup.
func PoliciesOf(baseline, order string, limit operator.LimitName) (operator.TrialPolicies, error) {
	p := operator.TrialPolicies{QueueOrder: upstream.QueueOrder(order), ConcurrencyLimit: limit.ConcurrencyLimit()}
	switch baseline {
	case BaselineNone:
		p.ReadPolicy = upstream.WaitOrPrimary{}
	case BaselinePrimary:
		p.ReadPolicy = upstream.PrimaryOnly{}
	case BaselineNaive:
		p.ReadPolicy = upstream.AnyReplica{}
	default:
		return p, ErrSetup.New("no baseline %q", baseline)
	}
	return p, nil
}

// readsName is how a summary names a policy.
func readsName(p upstream.ReadPolicy) string {
	switch p.(type) {
	case upstream.PrimaryOnly:
		return BaselinePrimary
	case upstream.AnyReplica:
		return BaselineNaive
	}
	return "savoryramp"
}

// limitName is how a summary names a limit.
func limitName(l upstream.ConcurrencyLimit) string {
	switch l.(type) {
	case upstream.AdaptiveLimit:
		return string(operator.LimitAdaptive)
	}
	return string(operator.LimitFixed)
}
