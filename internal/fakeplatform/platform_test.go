package fakeplatform_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"gotest.tools/v3/assert"
)

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		fake := fakeplatform.New()
		fake.VMLag = 10 * time.Second
		list := fake.VMList()
		count := func() int {
			found, err := list.List(ctx)
			assert.NilError(t, err)
			return len(found)
		}
		assert.NilError(t, list.Announce(ctx, platform.VM{Name: "vm-1", State: platform.VMLive}))
		assert.Equal(t, count(), 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, count(), 1)
		fake.RemoveVM("vm-1")
		time.Sleep(9 * time.Second)
		assert.Equal(t, count(), 1)
		time.Sleep(time.Second)
		assert.Equal(t, count(), 0)
		assert.NilError(t, list.Announce(ctx, platform.VM{Name: "vm-1", State: platform.VMLive}))
	})
}

func TestReadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New()
		fake.ReadLimit = 100
		time.Sleep(time.Second)
		refused := 0
		for range 300 {
			_, err := fake.Table().Get(context.Background(), "group/a")
			if errorx.IsOfType(err, platform.ErrUnavailable) {
				refused++
			}
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, refused > 30 && refused < 80, "%d of 300 refused", refused)
	})
}

func TestSlowWriteTakesEffectAfterItsCallerGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := fakeplatform.New()
		fake.SetFault(fakeplatform.TablePut, fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: 10 * time.Second})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := fake.Table().Put(ctx, row(0, "a"))
		assert.Assert(t, errorx.IsOfType(err, platform.ErrOutcomeUnknown), "%v", err)
		time.Sleep(5 * time.Second)
		found, err := fake.Table().Get(context.Background(), "group/receipts-1")
		assert.NilError(t, err)
		assert.DeepEqual(t, found, row(1, "a"))
	})
}

func TestFaultSteps(t *testing.T) {
	fake := fakeplatform.New()
	fake.SetFault(fakeplatform.TablePut, fakeplatform.Fault{Kind: fakeplatform.Conflict, After: 1, Times: 1})
	tests := []*errorx.Type{nil, platform.ErrConflict, nil}
	version := platform.Version(0)
	for i, want := range tests {
		written, err := fake.Table().Put(context.Background(), row(version, "a"))
		if want == nil {
			assert.NilError(t, err)
			version = written.Version
			continue
		}
		assert.Assert(t, errorx.IsOfType(err, want), "step %d: %v", i, err)
		version++
	}
	assert.Equal(t, version, platform.Version(3))
}
