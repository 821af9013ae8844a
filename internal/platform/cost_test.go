package platform_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// documentWithDatabases returns a document with n databases, each with an upstream of three
// servers and a workspace with one key.
func documentWithDatabases(n int) []byte {
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
		fmt.Fprintf(&s, "    keys:\n      - name: key-%04d\n        verifier: %s\n", i, testVerifier)
	}
	return []byte(s.String())
}

// BenchmarkParse measures the time to parse a document, its text size and its size in
// memory.
func BenchmarkParse(b *testing.B) {
	for _, n := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("databases=%d", n), func(b *testing.B) {
			text := documentWithDatabases(n)
			d, err := platform.Parse(text)
			assert.NilError(b, err)
			before := heapBytes()
			documents := make([]*platform.Document, 10)
			for i := range documents {
				documents[i], _ = platform.Parse(text)
			}
			memoryUsed := heapBytes() - before
			for b.Loop() {
				d, err = platform.Parse(text)
				assert.NilError(b, err)
			}
			runtime.KeepAlive(documents)
			b.ReportMetric(float64(len(text)), "B/document")
			b.ReportMetric(float64(memoryUsed)/float64(len(documents)), "mem-B/document")
			assert.Equal(b, len(d.Databases), n)
		})
	}
}

// BenchmarkKey measures the lookup of the last key of a document, which each login makes.
func BenchmarkKey(b *testing.B) {
	for _, n := range []int{10, 100, 1_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			d, err := platform.Parse(documentWithDatabases(n))
			assert.NilError(b, err)
			last := platform.KeyName(fmt.Sprintf("key-%04d", n-1))
			for b.Loop() {
				_, _, found := d.Key(last)
				assert.Assert(b, found)
			}
		})
	}
}

// heapBytes returns the bytes in use by the heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
