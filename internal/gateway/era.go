package gateway

import (
	"time"

	"github.com/nutmegroute/nutmegroute/internal/events"
)

// observeEra records the store's era in which a feed was read. If it rises, the store was
// restored from a copy and may lack what gateways wrote.
func (g *Gateway) observeEra(era uint64) {
	g.mu.Lock()
	known, former := g.eraKnown, g.era
	g.era, g.eraKnown = max(g.era, era), true
	g.mu.Unlock()
	if known && era <= former {
		return
	}
	if !known {
		g.platform.Lease.ObserveEra(era)
		return
	}
	g.log.Log(events.StoreRestored).Uint64("era", era).Uint64("former", former).Send()
	g.platform.Lease.ObserveEra(era)
	g.quarantine.StoreRestored(time.Now())
}
