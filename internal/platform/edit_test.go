package platform_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/fakeplatform"
	"github.com/savoryramp/savoryramp/internal/platform"
	"gotest.tools/v3/assert"
)

func TestKeyEditsPreserveText(t *testing.T) {
	flowStyle := strings.Replace(minimalDocument, "    keys:\n      - name: amman-demo\n        verifier: "+testVerifier,
		"    keys: [{name: amman-demo, verifier: "+testVerifier+"}] # one", 1)
	tests := map[string]struct {
		text      string
		withdrawn string
		added     string
	}{
		"block": {
			minimalDocument,
			strings.Replace(minimalDocument, "amman-demo\n", "amman-demo\n        withdrawn: true\n", 1),
			strings.Replace(minimalDocument, "alerts:", "      - name: desk-2\n        verifier: "+testVerifier+"\nalerts:", 1),
		},
		"flow": {
			flowStyle,
			strings.Replace(flowStyle, ", verifier", ", withdrawn: true, verifier", 1),
			strings.Replace(flowStyle, "[{", "[{name: desk-2, verifier: "+testVerifier+"}, {", 1),
		},
		"withdrawn false": {
			strings.Replace(minimalDocument, "alerts:", "        withdrawn: false # for now\nalerts:", 1),
			strings.Replace(minimalDocument, "alerts:", "        withdrawn: true # for now\nalerts:", 1),
			strings.Replace(minimalDocument, "alerts:", "        withdrawn: false # for now\n      - name: desk-2\n        verifier: "+testVerifier+"\nalerts:", 1),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			fake := fakeplatform.New()
			first, err := platform.Apply(ctx, fake.Table(), fake.Store(), "rana", []byte(test.text))
			assert.NilError(t, err)
			s, err := platform.SetKeyWithdrawn(ctx, fake.Table(), fake.Store(), "rana", "amman-demo", true)
			assert.NilError(t, err)
			assert.Equal(t, string(s.Body), test.withdrawn)
			again, err := platform.SetKeyWithdrawn(ctx, fake.Table(), fake.Store(), "rana", "amman-demo", true)
			assert.NilError(t, err)
			assert.Equal(t, again.Version, s.Version)

			_, err = platform.ApplyToVersion(ctx, fake.Table(), fake.Store(), "rana", s.Version, first.Body)
			assert.NilError(t, err)
			key := platform.Key{Name: "desk-2", Verifier: testVerifier}
			s, err = platform.AddKey(ctx, fake.Table(), fake.Store(), "rana", "amman", key)
			assert.NilError(t, err)
			assert.Equal(t, string(s.Body), test.added)
			_, err = platform.AddKey(ctx, fake.Table(), fake.Store(), "rana", "amman", key)
			assert.Assert(t, errorx.IsOfType(err, platform.ErrKeyTaken), "%v", err)
			_, err = platform.AddKey(ctx, fake.Table(), fake.Store(), "rana", "zarqa", platform.Key{Name: "x", Verifier: testVerifier})
			assert.Assert(t, errorx.IsOfType(err, platform.ErrNoKey), "%v", err)
		})
	}
}

func TestConcurrentKeyEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		fake := fakeplatform.New()
		_, err := platform.Apply(ctx, fake.Table(), fake.Store(), "rana", readExample(t, "ataa.yaml"))
		assert.NilError(t, err)
		slow := fakeplatform.Fault{Kind: fakeplatform.Slow, Delay: 1e8}
		fake.SetSteps(fakeplatform.TablePut, slow, slow)
		failures := make(chan error)
		for _, key := range []platform.KeyName{"amman-demo", "zarqa-demo"} {
			go func() {
				_, err := platform.SetKeyWithdrawn(ctx, fake.Table(), fake.Store(), "rana", key, true)
				failures <- err
			}()
		}
		assert.NilError(t, <-failures)
		assert.NilError(t, <-failures)
		newest, err := platform.ReadNewest(ctx, fake.Table(), fake.Store())
		assert.NilError(t, err)
		assert.Equal(t, newest.Version, platform.DocumentVersion(3))
		for _, name := range []platform.KeyName{"amman-demo", "zarqa-demo"} {
			_, key, _ := newest.Document.Key(name)
			assert.Assert(t, key.Withdrawn, "%s", name)
		}
	})
}
