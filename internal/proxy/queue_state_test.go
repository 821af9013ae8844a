package proxy

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/clock"
	"github.com/savoryramp/savoryramp/internal/meter"
)

// The state dump and the metrics show each server's queue by class.
func TestQueueIsObservable(t *testing.T) {
	m, err := meter.New()
	assert.NilError(t, err)
	runScheduledWith(t, func(v *VM) { assert.NilError(t, v.RegisterMetrics(m.Meter("vm"))) }, func(tb *testbed) {
		answers := tb.flood(60, boundedDatabase, hotKey)
		clock.Sleep(tb.ctx, 200*time.Millisecond)
		tb.vm.group(testService).observeLoad("b", 1, ServerLoad{InService: 1, Limit: 2, ExpectedWaitMs: 7})
		text, err := json.Marshal(tb.vm.State())
		assert.NilError(t, err)
		for _, part := range []string{
			`"queue":{"in-service":2,`, `{"priority":2,"workspace-priority":0,"waiting":`,
			`"told-load":{"1":{"in-service":1,"waiting":0,"limit":2,"more-urgent-waiting":0,"expected-wait-ms":7,"service-ms":0}}`,
		} {
			assert.Assert(t, strings.Contains(string(text), part), "%s\nhas no %s", text, part)
		}
		for a := range answers {
			assert.Assert(t, a.Succeeded() || a.RetryAfter > 0, a.Detail)
		}
		names, err := m.Names()
		assert.NilError(t, err)
		for _, name := range []string{
			"savoryramp_vm_queue_length", "savoryramp_vm_queue_wait_seconds", "savoryramp_vm_queue_forecast_error_seconds",
			"savoryramp_vm_queue_refusals_total", "savoryramp_vm_connections_opened_total",
		} {
			assert.Assert(t, slices.Contains(names, name), "no %s in %v", name, names)
		}
	})
}

// Without the order of statements, the state dump has no queue.
func TestNoQueueInState(t *testing.T) {
	runTest(t, func(tb *testbed) {
		text, err := json.Marshal(tb.vm.State())
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(text), "queue") && !strings.Contains(string(text), "told-load"), "%s", text)
	})
}
