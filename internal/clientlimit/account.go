// Package clientlimit decides which clients a process serves when they ask for more memory or
// connections than it has: whose request is refused and whose connection is closed. It does no
// I/O; the caller passes the time and carries the decisions out.
package clientlimit

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// ConnectionBytes is the memory of a connection without a request: the buffers of net/http and
	// the stacks of its goroutines.
	ConnectionBytes = 20 << 10
	// smallBytes is the memory up to which a connection counts as that of an ordinary request. Only
	// these may take the last part of the memory.
	smallBytes = 128 << 10
	// largeFraction is the part of the memory that connections above smallBytes may take together.
	largeFraction = 0.75
	// largeShare and smallShare bound the memory of one team or address, as multiples of the free
	// memory. One that takes all it can leaves a third or a sixteenth to the others.
	largeShare, smallShare = 2, 15
	// grace is how long a request may stop before it counts as stalled, urgentGrace how long if
	// memory is exhausted, connectGrace how long if connections are. A request comes together with
	// its connection, so that crowds which connect again and again lose their connections sooner
	// than an ordinary client sends its own.
	grace        = time.Second
	urgentGrace  = 250 * time.Millisecond
	connectGrace = 20 * time.Millisecond
	// queueTime is how long the order of the connections to be closed is kept: to sort thousands
	// of them for each connection of a crowd takes more time than to accept it.
	queueTime = 20 * time.Millisecond
	// leastRate is the least rate, in bytes a second, at which a request makes progress.
	leastRate = 1 << 10
	// sweepFraction is the part of a limit above which stalled requests are ended in advance.
	sweepFraction = 0.75
	// hostBits is the length of the prefix of IPv6 addresses that one client can have.
	hostBits = 64
)

// Limits bound what clients may cause.
type Limits struct {
	// Memory is the limit in bytes.
	Memory int64
	// Connections is the limit of open connections, 0 for none but the memory.
	Connections int
}

// Phase is what a connection does.
type Phase uint8

// The phases of a connection.
const (
	// Idle means that no request is in progress.
	Idle Phase = iota
	// Receiving means that a request arrives.
	Receiving
	// Working means that a complete request is handled.
	Working
	// Sending means that a response waits for the client.
	Sending
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	switch p {
	case Receiving:
		return "receiving"
	case Working:
		return "working"
	case Sending:
		return "sending"
	default:
		return "idle"
	}
}

// Account holds the memory and the connections of all clients. It is safe for concurrent use.
type Account struct {
	limits Limits

	// mu guards the fields below and those of all connections.
	mu          sync.Mutex
	used        int64
	connections map[*Connection]struct{}
	// open is the number of connections without the detached ones, leaving the number of those
	// that are to be closed, leavingBytes their memory.
	open, leaving int
	leavingBytes  int64
	addresses     map[netip.Addr]int64
	teams         map[string]int64
	// queue holds candidates to be closed in their order, as they were at queuedAt.
	queue    []*Connection
	queuedAt time.Time
}

// NewAccount returns an empty account.
func NewAccount(l Limits) *Account {
	return &Account{
		limits: l, connections: make(map[*Connection]struct{}),
		addresses: make(map[netip.Addr]int64), teams: make(map[string]int64),
	}
}

// Connection is the account of one connection.
type Connection struct {
	account *Account
	// Owner is what the caller needs to close the connection. It does not change.
	Owner any
	// address is the invalid Addr if it is unknown.
	address  netip.Addr
	detached bool

	// The account's mu guards the fields below.
	team   string
	memory int64
	phase  Phase
	// paidUntil is until when the connection has made progress at its rate.
	paidUntil time.Time
	rate      float64
	// leaving is true once the connection is to be closed, closed once it was. leavingPhase is
	// its phase at the decision.
	leaving, closed bool
	leavingPhase    Phase
	// used is true once a request has arrived on the connection.
	used bool
}

// Open adds a connection. It returns nil if there is no room. The caller must close the victims in
// any case. attach, unless it is nil, returns the owner of the connection, before another call can
// choose it as a victim.
func (a *Account) Open(address netip.Addr, attach func(*Connection) any, now time.Time) (c *Connection, victims []*Connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c = a.newConnection(address, now)
	if a.full() {
		victims = a.evict(1, 0, connectGrace, nil, now)
	}
	if a.full() {
		return nil, victims
	}
	if missing := a.used + ConnectionBytes - a.limits.Memory; missing > 0 {
		return nil, append(victims, a.evict(0, missing-a.leavingBytes, connectGrace, nil, now)...)
	}
	a.open++
	a.connections[c] = struct{}{}
	c.add(ConnectionBytes)
	if attach != nil {
		c.Owner = attach(c)
	}
	return c, victims
}

// full reports whether there are as many connections as the limit allows. One that is being closed
// does not count, but has its descriptor for another moment.
func (a *Account) full() bool {
	return a.limits.Connections > 0 && a.open-a.leaving >= a.limits.Connections
}

// Detached adds a request whose connection is not accounted for.
func (a *Account) Detached(now time.Time) *Connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.newConnection(netip.Addr{}, now)
	c.detached, c.phase = true, Working
	return c
}

func (a *Account) newConnection(address netip.Addr, now time.Time) *Connection {
	address = address.Unmap()
	if prefix, err := address.Prefix(hostBits); err == nil && address.Is6() {
		address = prefix.Addr()
	}
	return &Connection{account: a, address: address, paidUntil: now.Add(grace), rate: leastRate}
}

// add changes the memory of the connection. The caller holds the account's mu.
func (c *Connection) add(n int64) {
	a := c.account
	c.memory += n
	a.used += n
	if c.leaving {
		a.leavingBytes += n
	}
	if c.address.IsValid() {
		addTo(a.addresses, c.address, n)
	}
	if c.team != "" {
		addTo(a.teams, c.team, n)
	}
}

func addTo[K comparable](m map[K]int64, key K, n int64) {
	if m[key] += n; m[key] == 0 {
		delete(m, key)
	}
}

// Result is the result of Take.
type Result uint8

// The results of Take. Later means that memory is about to be released by connections that are
// closed.
const (
	Refused Result = iota
	Later
	Taken
)

// Take takes n bytes if they are free. The caller must close the victims.
func (c *Connection) Take(n int64, now time.Time) (r Result, victims []*Connection) {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed || c.leaving {
		return Refused, nil
	}
	missing := c.missing(n)
	if missing <= 0 {
		c.add(n)
		return Taken, nil
	}
	if more := missing - a.leavingBytes; more > 0 {
		victims = a.evict(0, more, urgentGrace, c, now)
	}
	if a.leavingBytes >= missing {
		return Later, victims
	}
	return Refused, victims
}

// missing returns how many bytes must become free before the connection may take n. The caller
// holds the account's mu.
func (c *Connection) missing(n int64) int64 {
	a := c.account
	free := a.limits.Memory - a.used
	missing := n - free
	if c.memory+n <= smallBytes {
		return max(missing, overShare(a.teams[c.team]+n, free, smallShare))
	}
	missing = max(missing, a.used+n-int64(largeFraction*float64(a.limits.Memory)))
	missing = max(missing, overShare(a.addresses[c.address]+n, free, largeShare))
	if c.team == "" {
		return missing
	}
	return max(missing, overShare(a.teams[c.team]+n, free, largeShare))
}

// overShare returns how many bytes a team or address that would use some must release before it has
// its share of the free memory.
func overShare(use, free, share int64) int64 {
	return max((use-share*max(free, 0))/(share+1), min(use-share*max(free, 0), 1))
}

// Charge takes n bytes that the process has already taken.
func (c *Connection) Charge(n int64) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if !c.closed {
		c.add(n)
	}
}

// Release returns n bytes.
func (c *Connection) Release(n int64) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if !c.closed {
		c.add(-min(n, c.memory-c.base()))
	}
}

// base returns the memory of the connection without a request.
func (c *Connection) base() int64 {
	if c.detached {
		return 0
	}
	return ConnectionBytes
}

// SetTeam names the team that the memory of the connection counts for until it is idle.
func (c *Connection) SetTeam(team string) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	c.setTeam(team)
}

func (c *Connection) setTeam(team string) {
	if c.closed || team == c.team {
		return
	}
	if c.team != "" {
		addTo(c.account.teams, c.team, -c.memory)
	}
	if c.team = team; team != "" {
		addTo(c.account.teams, team, c.memory)
	}
}

// Receive begins the receipt of a request or its body, which must arrive at a rate in bytes a
// second or at the least one.
func (c *Connection) Receive(rate float64, now time.Time) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.phase == Idle {
		c.stay() // the close of an idle connection is not worth a request
	}
	c.used = true
	c.phase, c.rate, c.paidUntil = Receiving, max(rate, leastRate), now.Add(grace)
}

// Progress records that n bytes were received or sent.
func (c *Connection) Progress(n int, now time.Time) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	paid := c.paidUntil.Add(time.Duration(float64(n) / c.rate * float64(time.Second)))
	if latest := now.Add(grace); paid.After(latest) {
		paid = latest
	}
	c.paidUntil = paid
}

// Work means that the request is complete and is to be handled. It reports whether it may run: the
// connection of a request that may not is being closed.
func (c *Connection) Work() bool {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.phase == Idle {
		c.stay()
	}
	if c.leaving {
		return false
	}
	c.phase = Working
	return true
}

// Send means that a response waits for the client, and returns the former phase.
func (c *Connection) Send(now time.Time) Phase { return c.setPhase(Sending, now.Add(grace)) }

// Restore ends a phase that Send began.
func (c *Connection) Restore(p Phase, now time.Time) { c.setPhase(p, now.Add(grace)) }

func (c *Connection) setPhase(p Phase, paidUntil time.Time) (before Phase) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	before, c.phase, c.paidUntil, c.rate = c.phase, p, paidUntil, leastRate
	return before
}

// SetIdle ends a request: all memory but that of the connection is released.
func (c *Connection) SetIdle(now time.Time) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	if c.closed {
		return
	}
	c.add(c.base() - c.memory)
	c.setTeam("")
	c.phase, c.paidUntil = Idle, now.Add(grace)
}

// stay takes back the decision to close the connection. The caller holds the account's mu.
func (c *Connection) stay() {
	if c.leaving {
		c.leaving = false
		c.account.leavingBytes -= c.memory
		c.account.leaving--
	}
}

// Close removes the connection and releases its memory. Further calls have no effect.
func (c *Connection) Close() {
	a := c.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return
	}
	c.stay()
	c.add(-c.memory)
	c.setTeam("")
	c.closed = true
	if !c.detached {
		delete(a.connections, c)
		a.open--
	}
}

// Leaving reports whether the connection is still to be closed, and what it did at the decision.
func (c *Connection) Leaving() (Phase, bool) {
	c.account.mu.Lock()
	defer c.account.mu.Unlock()
	return c.leavingPhase, c.leaving
}

// Sweep returns the connections to close because they are stalled while most of a limit is used.
func (a *Account) Sweep(now time.Time) []*Connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	bytes := a.used - a.leavingBytes - int64(sweepFraction*float64(a.limits.Memory))
	count := 0
	if a.limits.Connections > 0 {
		count = a.open - a.leaving - int(sweepFraction*float64(a.limits.Connections))
	}
	if bytes <= 0 && count <= 0 {
		a.queue = nil
		return nil
	}
	var victims []*Connection
	for _, c := range a.candidates(grace, now) {
		if count <= 0 && bytes <= 0 {
			break
		}
		if c.reusable() {
			continue
		}
		c.leave()
		count--
		bytes -= c.memory
		victims = append(victims, c)
	}
	return victims
}

// Lingering returns the idle connections that were to be closed and are still open: net/http may
// have reset the deadline by which they are closed.
func (a *Account) Lingering() []*Connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaving == 0 {
		return nil
	}
	var list []*Connection
	for c := range a.connections {
		if c.leaving && c.leavingPhase == Idle {
			list = append(list, c)
		}
	}
	return list
}

// evict marks connections to be closed, until count of them and bytes would be released. The
// caller holds mu.
func (a *Account) evict(count int, bytes int64, stop time.Duration, except *Connection, now time.Time) []*Connection {
	if now.Sub(a.queuedAt) >= queueTime {
		a.queue, a.queuedAt = a.candidates(connectGrace, now), now
	}
	var victims []*Connection
	for len(a.queue) > 0 && (count > 0 || bytes > 0) {
		c := a.queue[0]
		a.queue = a.queue[1:]
		if c == except || c.closed || !c.candidate(stop, now) {
			continue
		}
		c.leave()
		count--
		bytes -= c.memory
		victims = append(victims, c)
	}
	return victims
}

// leave marks the connection to be closed. The caller holds the account's mu.
func (c *Connection) leave() {
	c.leaving, c.leavingPhase = true, c.phase
	c.account.leaving++
	c.account.leavingBytes += c.memory
}

// candidate reports whether the connection has made no progress for longer than stop, so that it
// may be closed.
func (c *Connection) candidate(stop time.Duration, now time.Time) bool {
	if c.reusable() {
		stop = max(stop, urgentGrace)
	}
	return !c.leaving && c.phase != Working && now.Sub(c.paidUntil) > stop-grace
}

// candidates returns the connections that may be closed, in their order: stopped requests before
// reusable connections before requests that have stopped for a moment, those of a team or address
// with more than half of the memory before others, and the longest without progress first.
func (a *Account) candidates(stop time.Duration, now time.Time) []*Connection {
	var list []*Connection
	for c := range a.connections {
		if c.candidate(stop, now) {
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y *Connection) int {
		return cmp.Or(cmp.Compare(x.rank(now), y.rank(now)), x.paidUntil.Compare(y.paidUntil))
	})
	return list
}

// reusable reports whether an ordinary client may keep the connection for its next request.
func (c *Connection) reusable() bool { return c.phase == Idle && c.used }

// rank returns the place of the connection among the candidates.
func (c *Connection) rank(now time.Time) int {
	half := c.account.limits.Memory / 2
	switch {
	case c.reusable():
		return 2
	case c.used && now.Sub(c.paidUntil) <= urgentGrace-grace:
		return 3
	case c.account.addresses[c.address] > half || c.account.teams[c.team] > half:
		return 0
	}
	return 1
}

// Use is a summary of an account.
type Use struct {
	Memory      int64
	Connections int
}

// Use returns what is used.
func (a *Account) Use() Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Use{Memory: a.used, Connections: a.open}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }
