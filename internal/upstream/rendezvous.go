package upstream

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// leafSize is the maximum number of members of a leaf, which are compared one by
// one. The groups of current deployments fit into one leaf, so that keys are
// assigned by plain rendezvous hashing. Larger groups take about log2(n/leafSize)
// additional steps.
const leafSize = 32

// Members is an immutable set of upstreams with an index for rendezvous
// hashing. The index is a binary tree over the bits of the members' hashes. At
// each node, weighted rendezvous hashing with the member counts as weights
// selects the child for a key, so that a change of membership moves only a
// proportional part of the keys.
type Members struct {
	// List is sorted by the members' hashes.
	List  []*Upstream
	nodes []treeNode
}

// treeNode is a node of the index. It covers List[lo:hi]. left and right are the
// indexes of its children in nodes, or -1 in a leaf.
type treeNode struct {
	lo, hi      int
	left, right int
	// leftID and rightID are derived from the hash prefixes of the children, so
	// they don't depend on the membership.
	leftID, rightID uint64
}

func newMembers(list []*Upstream) *Members {
	slices.SortFunc(list, func(a, b *Upstream) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	m := &Members{List: list}
	m.build(0, len(list), 0)
	return m
}

// build adds the node for List[lo:hi], whose hashes have the first depth bits in
// common, and returns the index of the node.
func (m *Members) build(lo, hi, depth int) int {
	index := len(m.nodes)
	m.nodes = append(m.nodes, treeNode{lo: lo, hi: hi, left: -1, right: -1})
	mid := lo
	for hi-lo > leafSize && depth < 64 {
		bit := uint64(1) << (63 - depth)
		depth++
		for mid = lo; mid < hi && m.List[mid].hash&bit == 0; mid++ {
		}
		if mid > lo && mid < hi {
			break
		}
		mid = lo
	}
	if mid == lo {
		return index
	}
	shift := 64 - depth
	leftID := childID(m.List[lo].hash>>shift, depth)
	rightID := childID(m.List[mid].hash>>shift, depth)
	left := m.build(lo, mid, depth)
	right := m.build(mid, hi, depth)
	n := &m.nodes[index]
	n.left, n.right, n.leftID, n.rightID = left, right, leftID, rightID
	return index
}

func childID(prefix uint64, depth int) uint64 { return pairHash(prefix, uint64(depth)) }

// Preferred returns the member with the highest rendezvous score for key in the
// leaf that key selects, among those for which accept returns true. It returns
// nil if there is none.
func (m *Members) Preferred(key uint64, accept func(*Upstream) bool) *Upstream {
	n := &m.nodes[0]
	for n.left >= 0 {
		l, r := &m.nodes[n.left], &m.nodes[n.right]
		if weightedScore(key, n.leftID, l.hi-l.lo) >= weightedScore(key, n.rightID, r.hi-r.lo) {
			n = l
		} else {
			n = r
		}
	}
	type candidate struct {
		score uint64
		u     *Upstream
	}
	var buffer [leafSize]candidate
	candidates := buffer[:0]
	for _, u := range m.List[n.lo:n.hi] {
		candidates = append(candidates, candidate{pairHash(key, u.hash), u})
	}
	for len(candidates) > 0 {
		best := 0
		for i, c := range candidates {
			if c.score > candidates[best].score {
				best = i
			}
		}
		if u := candidates[best].u; accept(u) {
			return u
		}
		last := len(candidates) - 1
		candidates[best] = candidates[last]
		candidates = candidates[:last]
	}
	return nil
}

// weightedScore returns the weighted rendezvous score of the child with the given
// id and number of members.
func weightedScore(key, id uint64, members int) float64 {
	u := (float64(pairHash(key, id)>>11) + 0.5) / (1 << 53)
	return -float64(members) / math.Log(u)
}

func pairHash(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
