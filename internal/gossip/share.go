package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/chain"
)

// LimitShare returns the part of this gateway in the limit of an instance in a failure
// domain or cell, which is given by its key. The gateways of that failure domain share the limit, since they know each other
// one by one. While none of them is alive, those of the next failure domain by name do.
// The order of the gateways differs from instance to instance.
func (x *Reporter) LimitShare(instance, domain string, now time.Time) chain.LimitShare {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.members.responsibleDomain(domain, now) != x.members.own().Key() {
		return chain.LimitShare{Rank: -1}
	}
	names := x.members.aliveMembers(now)
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(orderOf(instance, a), orderOf(instance, b)), cmp.Compare(a, b))
	})
	return chain.LimitShare{Rank: slices.Index(names, x.name), Gateways: len(names)}
}

// orderOf returns the position of a gateway among those that share the limit of an
// instance, as a number to compare.
func orderOf(instance, gateway string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(instance))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(gateway))
	return hash.Sum64()
}

// responsibleDomain returns the failure domain whose gateways share the limits of instances
// in a failure domain: the first with living gateways, from that one on in the order of
// names.
func (s *membership) responsibleDomain(domain string, now time.Time) string {
	var domains []string
	for _, id := range s.aliveCells(now) {
		domains = append(domains, id.Key())
	}
	slices.Sort(domains)
	at, _ := slices.BinarySearch(domains, domain)
	return domains[at%len(domains)]
}
