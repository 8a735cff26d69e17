package policy

import (
	"fmt"
	"testing"
	"time"

	"arrowgw/internal/balance"
)

// BenchmarkRequest measures a request and its outcome for several sizes of the server list, to show how the cost grows
// with the list.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []balance.ServerID{10, 70, 290} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			cfg := testConfig()
			cfg.Balancers = 150
			cfg.Tenants = []balance.Tenant{{Share: 1, Quota: 2000}}
			var list []balance.Server
			for id := range servers {
				list = append(list, balance.Server{ID: id, State: balance.Ready, Weight: 1})
			}
			x, _ := startBalancer(b, cfg, list)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 75 * ms
				sendRequest(x, now, balance.RequestID(i), safeClass)
				endAttempt(x, now+20*ms, balance.RequestID(i), 0, balance.Served)
				x.Wake(now + 40*ms)
			}
		})
	}
}
