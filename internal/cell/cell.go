// Package cell divides large failure domains into cells: sets of about targetInstances
// instances and the gateways that use them. Within a cell, gateways exchange full reports,
// choose paths and place layers as they do within a small failure domain. The package
// performs no I/O.
package cell

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
)

const (
	// MaxUndivided is the number of instances up to which a failure domain is never divided.
	// The largest deployment without cells has 126 instances.
	MaxUndivided = 192
	// divideAbove is the number of instances from which on an undivided failure domain is
	// divided. The distance to MaxUndivided keeps a failure domain near the limit from
	// alternating.
	divideAbove = 256
	// maxInstances and minInstances are the mean numbers of instances of a cell from which on
	// the number of cells is doubled or halved. Both lead to 48 to 80 instances in a cell.
	maxInstances, minInstances = 96, 40
	// minToDivide is the mean number of instances of each model's service that a cell must have
	// after a division, minOfModel the number below which cells are merged: a cell has to
	// hold complete chains of each model, with spare instances.
	minToDivide, minOfModel = 32, 20
	// minGateways is the mean number of gateways of a cell below which a failure domain is not
	// divided further. A cell needs two relays and spare gateways.
	minGateways = 3
	// minReported is the mean number of instances of a cell below which a reported number of cells is
	// lowered.
	minReported = 16
	// maxCells bounds the number of cells of a failure domain, whatever is reported.
	maxCells = 1024
)

// Sizes are the numbers from which the number of cells of a failure domain follows.
type Sizes struct {
	Instances int
	// SmallestModel is the number of instances of the model's service that has the fewest in
	// the failure domain, 0 if there are no models' services.
	SmallestModel int
	// Gateways is the number of registered gateways.
	Gateways int
}

// Count returns the number of cells of a failure domain, a power of two, if it is current
// now. The result depends on current, so that small changes of the sizes don't change it.
func Count(current int, s Sizes) int {
	if s.Instances <= MaxUndivided {
		return 1
	}
	n := Valid(current)
	for n > 1 && s.mergeAt(n) {
		n /= 2
	}
	if n == 1 && s.Instances <= divideAbove {
		return 1
	}
	for n < maxCells && s.Instances > maxInstances*n && s.mayHave(2*n) {
		n *= 2
	}
	return n
}

// mergeAt reports whether n cells are too many.
func (s Sizes) mergeAt(n int) bool {
	return s.Instances < minInstances*n || s.SmallestModel > 0 && s.SmallestModel < minOfModel*n ||
		2*s.Gateways < minGateways*n
}

// mayHave reports whether n cells are large enough.
func (s Sizes) mayHave(n int) bool {
	return (s.SmallestModel == 0 || s.SmallestModel >= minToDivide*n) && s.Gateways >= minGateways*n
}

// Agree returns the number of cells that applies if this gateway derives derived and the highest
// number that others report is reported. It ignores reports that its own view excludes by far:
// cells of less than minReported instances.
func Agree(derived, reported int, s Sizes) int {
	n := Valid(max(derived, reported))
	if s.Instances <= MaxUndivided {
		return 1
	}
	for n > derived && s.Instances < minReported*n {
		n /= 2
	}
	return n
}

// Valid returns the largest valid number of cells up to n: a power of two of at most
// maxCells, 1 at least.
func Valid(n int) int {
	valid := 1
	for valid*2 <= min(n, maxCells) {
		valid *= 2
	}
	return valid
}

// ID identifies a cell: the one with the index Index of the Of cells of a failure domain.
type ID struct {
	Domain    string
	Index, Of int
}

// Key returns a name of the cell that is unique among the cells of a deployment. It is the name of the
// failure domain if that is not divided.
func (id ID) Key() string {
	if id.Of <= 1 {
		return id.Domain
	}
	return id.Domain + "/" + strconv.Itoa(id.Index) + "." + strconv.Itoa(id.Of)
}

// Compare orders cells by index first, so that the first cells are in different failure
// domains.
func Compare(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Of, b.Of))
}

// OfInstance returns the index of the cell of an instance in a failure domain of n cells.
func OfInstance(id string, n int) int {
	if n <= 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(mix(uint64(hash.Sum32())) % uint64(n))
}

// mix spreads the bits of a hash: the low bits of FNV differ little for names that differ in
// the last characters.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// preference returns how well a gateway fits a cell, as a number to compare.
func preference(gateway string, index int) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(gateway))
	return mix(hash.Sum64() + uint64(index)*0x9e3779b97f4a7c15)
}

// Assign returns the index of the cell of each gateway of a failure domain of n cells. Each
// cell gets the same number of gateways, or one more: each gateway in the order of a hash gets
// the cell that fits it best of those that have room, so that a gateway that joins or leaves
// moves few others.
func Assign(gateways []string, n int) map[string]int {
	assigned := make(map[string]int, len(gateways))
	if n <= 1 {
		for _, g := range gateways {
			assigned[g] = 0
		}
		return assigned
	}
	order := slices.Clone(gateways)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(preference(a, -1), preference(b, -1)), cmp.Compare(a, b))
	})
	sizes := make([]int, n)
	whole := len(order) / n * n
	for i, g := range order {
		room := len(order) / n
		if i >= whole {
			room++
		}
		best, found := 0, false
		for c := range n {
			if sizes[c] < room && (!found || preference(g, c) > preference(g, best)) {
				best, found = c, true
			}
		}
		sizes[best]++
		assigned[g] = best
	}
	return assigned
}

const (
	// nearDomains is the distance, in the ring of the failure domains' names, up to which
	// cells of two failure domains are partners.
	nearDomains = 3
	// maxPartnersInDomain bounds the partners of a cell in another failure domain, which may
	// have more cells than the own one.
	maxPartnersInDomain = 4
)

// Partners returns the cells whose instances the gateways of a cell use besides their own ones, and
// with which they exchange loads. The relation is symmetric. domains holds the number
// of cells of each failure domain, the own one included.
func Partners(self ID, domains map[string]int) []ID {
	var list []ID
	for _, bit := range []int{1, 2} {
		if bit < self.Of {
			list = append(list, ID{self.Domain, self.Index ^ bit, self.Of})
		}
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	slices.Sort(names)
	own := slices.Index(names, self.Domain)
	for i, name := range names {
		distance := min((i-own+len(names))%len(names), (own-i+len(names))%len(names))
		if i == own || distance > nearDomains {
			continue
		}
		of := domains[name]
		smaller := min(of, self.Of)
		if self.Index >= maxPartnersInDomain*smaller {
			continue
		}
		for index := self.Index % smaller; index < min(of, maxPartnersInDomain*smaller); index += smaller {
			list = append(list, ID{name, index, of})
		}
	}
	slices.SortFunc(list, Compare)
	return list
}

// Parent returns the cell of the same failure domain from whose relays those of a cell read
// the feeds of the platform's store. It returns false for the first cell, whose relays read
// from the readers. Every cell is at most two steps below the first one.
func Parent(id ID) (ID, bool) {
	if id.Index == 0 {
		return ID{}, false
	}
	fan := 1
	for fan*fan < id.Of {
		fan++
	}
	return ID{id.Domain, (id.Index - 1) / fan, id.Of}, true
}
