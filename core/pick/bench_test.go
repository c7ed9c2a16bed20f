package pick

import (
	"fmt"
	"testing"
	"time"

	"shallotcleat/core/fleet"
	"shallotcleat/core/scope"
)

// benchPicker returns the picker of one of 420 gates, 70 of them in its zone, with servers spread evenly over services.
func benchPicker(servers, services int) *Picker {
	rg := fleet.NewRegistry()
	for i := range servers {
		service := fmt.Sprint("chat-", i%services)
		rg.Put(fleet.NewServer(fmt.Sprint("server-", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			fmt.Sprint("zone-", i%6), service, 64, false, 1, map[string]uint64{testModel: 1}))
	}
	pk := New("zone-0", time.Minute, 1)
	pk.SetView(rg.View())
	pk.SetSenders(70, 420)
	return pk
}

// BenchmarkChoose measures a choice and the recording of its attempt, at the sizes of the current, the grown and the
// design deployment.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []struct{ servers, services int }{{9, 1}, {47, 1}, {3100, 17}} {
		b.Run(fmt.Sprintf("%d-of-%d", size.servers/size.services, size.servers), func(b *testing.B) {
			pk := benchPicker(size.servers, size.services)
			now := time.Unix(1000, 0)
			for i := range b.N {
				now = now.Add(10 * time.Millisecond)
				cl := NewCall("chat-0", testModel, scope.Scope{},
					[]Part{NewPart("system", 500), NewPart(fmt.Sprint("s", i%500), 5000), NewPart("own", 1000)}, 6500, true)
				ch, ok := pk.Choose(now, cl, nil)
				if !ok {
					b.Fatal("Choose found no server")
				}
				att := pk.StartAttempt(now, cl, ch)
				att.MarkFirstEvent(now)
				att.End(now, Served)
				pk.TakeHints()
			}
		})
	}
}

// BenchmarkSetUtilization measures the handling of a tender's report.
func BenchmarkSetUtilization(b *testing.B) {
	pk := benchPicker(3100, 17)
	now := time.Unix(1000, 0)
	for i := range b.N {
		id := fmt.Sprint("server-", i%3100)
		pk.SetWeights(now, id, testModel, 1, false)
		pk.SetUtilization(id, NewUtilization(3, 1, 1000, 1000, now))
	}
}
