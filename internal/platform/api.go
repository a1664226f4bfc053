// Package platform is the client of the platform's object API and its list of
// instances.
package platform

// Paths of the platform's HTTP API.
const (
	PathObjects   = "/v1/objects"
	PathWatch     = "/v1/watch"
	PathInstances = "/v1/instances"
)

// MaxValueBytes is the largest value the object API holds, in bytes.
const MaxValueBytes = 1 << 20

// Object is one stored object.
type Object struct {
	Key string `json:"key"`
	// Version is the store-wide revision at the object's last write.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// PutRequest is the body of PUT /v1/objects/KEY. The request carries either
// "If-None-Match: *" (create if absent) or `If-Match: "VERSION"` (conditional
// update). A failed condition is answered with HTTP 412 and the current Object
// without its value.
type PutRequest struct {
	Value []byte `json:"value"`
}

// ListResponse answers GET /v1/objects?prefix=P&after=KEY&limit=N, in key
// order, and GET /v1/watch?prefix=P&after=REVISION&timeout=SECONDS, in
// revision order; a watch waits until an object with a higher version exists
// or the timeout passes.
type ListResponse struct {
	// Revision is the store-wide revision that the response reflects.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// More is true if limit was reached and further objects exist.
	More bool `json:"more,omitempty"`
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

const (
	// InstanceLive means the instance runs.
	InstanceLive InstanceState = "live"
	// InstanceLeaving means the platform will stop the instance soon.
	InstanceLeaving InstanceState = "leaving"
)

// InstanceRole says which process of the system the instance runs.
type InstanceRole string

const (
	// RoleEntry means the instance runs an entry.
	RoleEntry InstanceRole = "entry"
	// RoleUpstream means the instance runs an upstream and its sidecar. Its
	// Address is the address of the sidecar.
	RoleUpstream InstanceRole = "upstream"
)

// Instance is one instance in the platform's list.
type Instance struct {
	ID            string        `json:"id"`
	Role          InstanceRole  `json:"role"`
	Address       string        `json:"address"`
	FailureDomain string        `json:"failure_domain"`
	Region        string        `json:"region,omitempty"`
	State         InstanceState `json:"state"`
}

// InstancesResponse answers GET /v1/instances. The list may lag behind the actual
// state.
type InstancesResponse struct {
	Instances []Instance `json:"instances"`
}
