package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/peer/peerpb"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// FuzzHeartbeat processes arbitrary bytes as a heartbeat. No peer may become a member
// under this VM's name or change this VM's own views.
func FuzzHeartbeat(f *testing.F) {
	for _, h := range []*peerpb.Heartbeat{
		{Hello: &peerpb.Hello{Vm: "vm-2", Incarnation: 5, AvailabilityZone: "z", Address: "a:1"}, Document: &peerpb.Document{Version: 3, Hash: "h"}},
		{Hello: &peerpb.Hello{Vm: "vm-1", Incarnation: 1}},
		{Hello: &peerpb.Hello{Vm: "vm-2", Incarnation: -1}, Word: &peerpb.Word{Version: -1, Known: true, AgeMs: 1 << 62}, Draining: true},
		{Hello: &peerpb.Hello{Vm: "vm-2"}, Views: []*peerpb.View{
			{Origin: "vm-1", Sequence: 9, What: &peerpb.View_Hint{Hint: &peerpb.Hint{Name: "n", Value: 2}}},
			{Origin: "vm-3", What: &peerpb.View_Silent{Silent: &peerpb.Silent{Vm: "vm-1", Silent: true}}},
			{What: &peerpb.View_Server{}},
			{What: &peerpb.View_Group{Group: &peerpb.Group{Term: -1}}},
			{},
		}},
	} {
		body, err := proto.Marshal(h)
		assert.NilError(f, err)
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var h peerpb.Heartbeat
		if proto.Unmarshal(body, &h) != nil {
			return
		}
		fleet := &Fleet{
			Self: "vm-1", Incarnation: 1,
			OnNewerDocument:  func(Name, platform.DocumentVersion, platform.DocumentHash) {},
			OnDocumentReport: func(_ Name, w platform.DocumentReport) { assert.Check(t, w.Age >= 0, "%v", w) },
		}
		fleet.Publish(LoadHint{"n", 1})
		from := Caller{Name: "vm-2"}
		fleet.receiveHeartbeat(&from, &h)
		fleet.receiveHeartbeat(&from, &h)
		fleet.receiveDocumentReport(from.Name, h.GetWord(), 0)
		fleet.updateStates()
		for _, m := range fleet.Members() {
			assert.Assert(t, m.Name != "vm-1" && m.Name != "")
		}
		for _, s := range fleet.Views() {
			assert.Assert(t, s.Origin != "vm-1" || s.View == LoadHint{"n", 1})
		}
	})
}
