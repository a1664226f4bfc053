// Package revision orders the changes of the platform's store. The store counts its changes.
// When it is restored from an older copy, it counts on from there and gives out numbers again;
// its era then rises by one.
package revision

const (
	// numberBits is the number of bits of a Revision that hold the number: 1e12 changes.
	numberBits = 40
	// MaxEra is the highest era that a Revision can hold.
	MaxEra = 1<<(64-numberBits) - 1
	// maxNumber is the highest number that a Revision can hold.
	maxNumber = 1<<numberBits - 1
)

// Revision is the position of a change: the era in its high bits, then the number of the
// change. Revisions compare like integers, so that each one of a newer era is higher than all
// of former eras. In era 0, which stands for a store that tells none, a Revision equals its
// number.
type Revision uint64

// New returns the revision of a number in an era. Values that are too high are limited.
func New(era, number uint64) Revision {
	return Revision(min(era, MaxEra)<<numberBits | min(number, maxNumber))
}

// Era returns the era.
func (r Revision) Era() uint64 { return uint64(r) >> numberBits }

// Number returns the number of the change.
func (r Revision) Number() uint64 { return uint64(r) & maxNumber }
