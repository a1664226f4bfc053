package bench

import (
	"runtime"
	"syscall"
	"time"
)

// resourceUsage is the CPU time and the number of heap allocations of this
// operating-system process up to a point in time.
type resourceUsage struct {
	at          time.Time
	cpuTime     time.Duration
	allocations uint64
}

// currentUsage returns the totals since the start of the process.
func currentUsage() resourceUsage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{
		at: time.Now(), allocations: m.Mallocs,
		cpuTime: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
	}
}

// memoryInUse forces two garbage collections and returns the size of the live heap
// and of the stacks in bytes.
func memoryInUse() float64 {
	// The second collection frees the objects that finalizers released after the
	// first collection.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
