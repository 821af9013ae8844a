package platform_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// documentOf has n databases, each with a group of three servers and a workspace with
// one key.
func documentOf(n int) []byte {
	var s strings.Builder
	s.WriteString("service: big\nupstreams:\n")
	for i := range n {
		fmt.Fprintf(&s, "  - name: group-%04d\n    user: savoryramp\n    database: receipts\n    servers:\n", i)
		for j := range 3 {
			fmt.Fprintf(&s, "      - name: group-%04d-%d\n        address: 10.%d.%d.%d:5432\n", i, j, j, i/250, i%250+1)
			fmt.Fprintf(&s, "        availability-zone: zone-%d\n        connections: 24\n        slots: 3\n", j)
		}
	}
	s.WriteString("databases:\n")
	for i := range n {
		fmt.Fprintf(&s, "  - name: database-%04d\n    upstream: group-%04d\n", i, i)
	}
	s.WriteString("workspaces:\n")
	for i := range n {
		fmt.Fprintf(&s, "  - name: workspace-%04d\n    rate: 1000/s\n    burst: 200\n    databases: [database-%04d]\n", i, i)
		fmt.Fprintf(&s, "    keys:\n      - name: key-%04d\n        verifier: %s\n", i, verifier)
	}
	return []byte(s.String())
}

// BenchmarkParse reports a document's size, reading it, and what it holds in memory.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("databases=%d", n), func(b *testing.B) {
			text := documentOf(n)
			d, err := platform.Parse(text)
			assert.NilError(b, err)
			before := heap()
			kept := make([]*platform.Document, 10)
			for i := range kept {
				kept[i], _ = platform.Parse(text)
			}
			held := heap() - before
			for b.Loop() {
				d, err = platform.Parse(text)
				assert.NilError(b, err)
			}
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(len(text)), "B/document")
			b.ReportMetric(float64(held)/float64(len(kept)), "mem-B/document")
			assert.Equal(b, len(d.Databases), n)
		})
	}
}

// BenchmarkKey reports finding the last key of a document, once for each login.
func BenchmarkKey(b *testing.B) {
	for _, n := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			d, err := platform.Parse(documentOf(n))
			assert.NilError(b, err)
			last := platform.KeyName(fmt.Sprintf("key-%04d", n-1))
			for b.Loop() {
				_, _, found := d.Key(last)
				assert.Assert(b, found)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
