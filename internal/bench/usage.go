package bench

import (
	"runtime"
	"syscall"
	"time"
)

// usage is what this operating-system process has used so far.
type usage struct {
	at          time.Time
	processor   time.Duration
	allocations uint64
}

func usageNow() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at: time.Now(), allocations: m.Mallocs,
		processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
	}
}

// memoryNow returns the live heap and the stacks in bytes.
func memoryNow() float64 {
	// The second collection frees what finalizers of the first one released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
