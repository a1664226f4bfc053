package clientconn

import "syscall"

const (
	// reservedFDs are the descriptors of files, and clientFDFraction is the part of the others
	// that clients may have. The rest is for servers, stores and peers.
	reservedFDs      = 200
	clientFDFraction = 0.6
	// minConnections is the least limit of connections, for machines with few descriptors.
	minConnections = 16
	// maxDescriptors bounds a limit that the system does not.
	maxDescriptors = 1 << 20
)

// DescriptorLimit returns the number of descriptors that the process may have.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return maxDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// Connections returns how many connections clients may have on a machine with a number of
// descriptors.
func Connections(descriptors int) int {
	return max(int(clientFDFraction*float64(descriptors-reservedFDs)), minConnections)
}
