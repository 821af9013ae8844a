package contract_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/pkg/contract"
)

func workspaces(n int) map[contract.Name]contract.Limit {
	all := map[contract.Name]contract.Limit{}
	for i := range n {
		all[contract.Name(fmt.Sprintf("workspace/w-%04d", i))] = contract.Rate{PerSecond: 1000, Burst: 200}
	}
	return all
}

// testRow returns a row that divides n contracts among the given number of holders.
func testRow(holders, n int) contract.Row {
	r := contract.Row{Version: 1}
	for i := range holders {
		h := contract.Holder{VM: contract.VMName(fmt.Sprintf("vm-%04d", i)), Incarnation: 1_764_828_000_000_000_000}
		shares := map[contract.Name]contract.Share{}
		for name := range workspaces(n) {
			shares[name] = contract.Share{Cap: contract.Tokens(200 / holders), Refill: contract.Refill(1e9 / holders)}
		}
		r.Grants = append(r.Grants, contract.Grant{Holder: h, Shares: shares})
	}
	return r
}

// BenchmarkRow measures the encoded size of a row and the time to encode and decode it.
func BenchmarkRow(b *testing.B) {
	for _, holders := range []int{3, 9, 16} {
		for _, n := range []int{10, 100, 1_000} {
			b.Run(fmt.Sprintf("holders=%d/contracts=%d", holders, n), func(b *testing.B) {
				r := testRow(holders, n)
				var size int
				for b.Loop() {
					body, err := json.Marshal(r)
					assert.NilError(b, err)
					size = len(body)
					var decoded contract.Row
					assert.NilError(b, json.Unmarshal(body, &decoded))
				}
				b.ReportMetric(float64(size), "B/row")
			})
		}
	}
}

// BenchmarkRenew measures how a holder answers a renew request, with and without demand for
// all contracts.
func BenchmarkRenew(b *testing.B) {
	for _, n := range []int{10, 100, 1_000} {
		for _, state := range []string{"quiet", "in-demand"} {
			b.Run(fmt.Sprintf("contracts=%d/%s", n, state), func(b *testing.B) {
				s := newBenchmarkShares(n)
				if state == "in-demand" {
					generateDemand(b, s, n)
				}
				request, err := json.Marshal(contract.RenewRequest{Version: 1})
				assert.NilError(b, err)
				answer, err := s.HandleRenew(request)
				assert.NilError(b, err)
				for b.Loop() {
					_, err = s.HandleRenew(request)
					assert.NilError(b, err)
				}
				b.ReportMetric(float64(len(request)+len(answer)), "B/renewal")
			})
		}
	}
}

func newBenchmarkShares(n int) *contract.Shares {
	r := testRow(9, n)
	s := &contract.Shares{Self: r.Grants[0].Holder, MaxWait: time.Nanosecond}
	s.SetLimits(workspaces(n))
	s.Adopt(r)
	return s
}

// generateDemand sends requests for every contract until its demand is large enough to be reported.
func generateDemand(b *testing.B, s *contract.Shares, n int) {
	for name := range workspaces(n) {
		for range 20 {
			_ = s.Admit(b.Context(), name)
		}
	}
}

// BenchmarkLend measures how a lender answers a borrow request.
func BenchmarkLend(b *testing.B) {
	s := newBenchmarkShares(1)
	request, err := json.Marshal(contract.BorrowRequest{Contract: "workspace/w-0000", Tokens: 5, ClosedLoans: []contract.LoanID{1}})
	assert.NilError(b, err)
	var size int
	for b.Loop() {
		answer, err := s.HandleBorrow(request)
		assert.NilError(b, err)
		size = len(request) + len(answer)
	}
	b.ReportMetric(float64(size), "B/loan")
}

// TestRenewalCost logs the traffic of a VM without requests, by the size of the fleet and the
// number of contracts, once the row no longer changes.
func TestRenewalCost(t *testing.T) {
	lines := []string{" VMs contracts  messages/s and VM  bytes/s and VM  table calls/s"}
	for _, c := range []struct{ vms, contracts int }{{3, 10}, {9, 1}, {9, 10}, {9, 100}, {27, 10}} {
		synctest.Test(t, func(*testing.T) {
			f := newFleet(1, c.vms, workspaces(c.contracts))
			f.startAll(0)
			time.Sleep(10 * time.Second)
			messages, bytes, calls := leasedShares{f}.trafficCounts()
			const span = 10
			time.Sleep(span * time.Second)
			messagesAfter, bytesAfter, callsAfter := leasedShares{f}.trafficCounts()
			vmSeconds := span * float64(c.vms)
			lines = append(lines, fmt.Sprintf("%4d %9d %18.1f %15.0f %14.2f",
				c.vms, c.contracts, float64(messagesAfter-messages)/vmSeconds, float64(bytesAfter-bytes)/vmSeconds, float64(callsAfter-calls)/span))
			f.stopAll()
		})
	}
	t.Log("\n" + strings.Join(lines, "\n"))
}

func (l leasedShares) trafficCounts() (messages, bytes, calls int) {
	calls, messages, bytes = l.traffic()
	return messages, bytes, calls
}
