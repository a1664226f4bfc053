package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
)

func startServer(t *testing.T, c Config) (*Server, string) {
	s := NewServer(c)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, h.URL
}

// sendRequest sends a request and decodes the response into out. It returns the
// HTTP status, or 0 if there is no valid response. A negative version sends
// If-None-Match (create), 0 sends no condition and a positive version sends
// If-Match.
func sendRequest(ctx context.Context, method, url string, version int, in, out any) int {
	body, _ := json.Marshal(in)
	r, _ := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if version < 0 {
		r.Header.Set("If-None-Match", "*")
	} else if version > 0 {
		r.Header.Set("If-Match", fmt.Sprintf(`"%d"`, version))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if out != nil && json.NewDecoder(response.Body).Decode(out) != nil {
		return 0
	}
	return response.StatusCode
}

func createObject(t *testing.T, url, key string) int {
	return sendRequest(t.Context(), "PUT", url+"/v1/objects/"+key, -1, api.PutRequest{Value: []byte(key)}, nil)
}

// Guards against a write that ignores its condition. Two processes could then
// both acquire the same claim.
func TestConditionalWrites(t *testing.T) {
	s, url := startServer(t, Config{})
	tests := []struct {
		method, key                string
		version, valueSize, status int
		resultVersion              uint64
	}{
		{"PUT", "a", 0, 1, 400, 0},
		{"PUT", "a", 7, 1, 412, 0},
		{"PUT", "a", -1, api.MaxValueBytes, 200, 1},
		{"PUT", "a", -1, 1, 412, 1},
		{"PUT", "b//c", -1, 1, 200, 2},
		{"PUT", "a", 1, 2, 200, 3},
		{"PUT", "a", 1, 2, 412, 3},
		{"DELETE", "a", 1, 0, 412, 3},
		{"DELETE", "a", -1, 0, 400, 0},
		{"DELETE", "a", 3, 0, 200, 4},
		{"PUT", "a", 4, 1, 412, 4},
		{"GET", "a", 0, 0, 404, 4},
		{"PUT", "a", -1, 1, 200, 5},
		{"GET", "a", 0, 0, 200, 5},
		{"PUT", "d", -1, api.MaxValueBytes + 1, 413, 0},
		{"PUT", "d", -1, 2 * api.MaxValueBytes, 413, 0},
	}
	for _, tt := range tests {
		var got api.Object
		status := sendRequest(t.Context(), tt.method, url+"/v1/objects/"+tt.key, tt.version, api.PutRequest{Value: make([]byte, tt.valueSize)}, &got)
		assert.Equal(t, status, tt.status, "%+v", tt)
		assert.Equal(t, got.Version, tt.resultVersion, "%+v", tt)
	}
	assert.Equal(t, s.Counters(), Counters{Reads: 2, Writes: 14})
}

// Guards against pages that omit or repeat objects, and against watches that
// miss a deletion or a write that happens while they wait.
func TestListAndWatch(t *testing.T) {
	s, url := startServer(t, Config{})
	for _, key := range []string{"p/3", "q/1", "p/1", "p/2"} {
		assert.Equal(t, createObject(t, url, key), 200)
	}
	var keys []string
	list := api.ListResponse{More: true}
	for after := ""; list.More; after = keys[len(keys)-1] {
		list = api.ListResponse{}
		sendRequest(t.Context(), "GET", url+"/v1/objects?prefix=p/&limit=2&after="+after, 0, nil, &list)
		for _, o := range list.Objects {
			keys = append(keys, o.Key)
		}
	}
	assert.DeepEqual(t, keys, []string{"p/1", "p/2", "p/3"})
	assert.Equal(t, sendRequest(t.Context(), "DELETE", url+"/v1/objects/p/3", 1, nil, nil), 200)

	watch := func(after uint64) (w api.ListResponse) {
		sendRequest(t.Context(), "GET", fmt.Sprintf("%s/v1/watch?prefix=p/&after=%d&timeout=20", url, after), 0, nil, &w)
		return w
	}
	w := watch(3)
	assert.Equal(t, w.Revision, uint64(5))
	assert.Equal(t, w.Objects[0].Key, "p/2")
	assert.Assert(t, w.Objects[1].Deleted && w.Objects[1].Key == "p/3")

	reads := s.Counters().Reads
	woken := make(chan api.ListResponse)
	go func() { woken <- watch(5) }()
	waitFor(func() bool { return s.Counters().Reads > reads })
	createObject(t, url, "q/2")
	createObject(t, url, "p/4")
	assert.Equal(t, (<-woken).Objects[0].Key, "p/4")
	assert.Equal(t, s.Counters().Reads, reads+1)
}

// waitFor polls until condition returns true. It has no timeout of its own, so
// that tests don't fail on a slow machine; the timeout of go test applies.
func waitFor(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// Guards against lost responses whose writes don't take effect, lost responses
// for keys without the prefix, and different faults with the same seed.
func TestLostResponses(t *testing.T) {
	s, url := startServer(t, Config{})
	assert.Equal(t, sendRequest(t.Context(), "PUT", url+PathFaults, 0, Faults{LoseResponses: 1, LosePrefix: "p/"}, nil), 204)
	assert.Equal(t, createObject(t, url, "q/1"), 200)
	assert.Equal(t, createObject(t, url, "p/1"), 0)
	assert.Equal(t, createObject(t, url, "p/2"), 200)
	assert.Equal(t, len(s.Objects("p/")), 2)
	var runs [2]string
	for i := range runs {
		s.SetFaults(Faults{LoseProbability: 0.5, Seed: 7})
		for n := range 20 {
			runs[i] += fmt.Sprint(createObject(t, url, fmt.Sprintf("r%d/%d", i, n)), " ")
		}
	}
	assert.Equal(t, runs[0], runs[1])
	assert.Assert(t, strings.Contains(runs[0], "200 ") && strings.Contains(runs[0], "0 0 "))
}

// Guards against an outage that doesn't fail waiting watches, and against a
// delayed write that doesn't take effect after its client has disconnected.
func TestOutageAndDelay(t *testing.T) {
	s, url := startServer(t, Config{})
	for mode, status := range map[OutageMode]int{OutageUnavailable: 503, OutageCloseConnection: 0} {
		s.SetFaults(Faults{})
		reads, result := s.Counters().Reads, make(chan int)
		go func() { result <- sendRequest(t.Context(), "GET", url+"/v1/watch?after=0&timeout=20", 0, nil, nil) }()
		waitFor(func() bool { return s.Counters().Reads > reads })
		s.SetFaults(Faults{Outage: mode})
		assert.Equal(t, <-result, status)
		assert.Equal(t, createObject(t, url, "x"), status)
		assert.Equal(t, sendRequest(t.Context(), "GET", url+"/v1/instances", 0, nil, nil), 200)
	}
	s.SetFaults(Faults{DelayMillis: 200})
	ctx, cancel := context.WithCancel(t.Context())
	writes, result := s.Counters().Writes, make(chan int)
	go func() { result <- sendRequest(ctx, "PUT", url+"/v1/objects/late", -1, api.PutRequest{}, nil) }()
	waitFor(func() bool { return s.Counters().Writes > writes })
	cancel()
	assert.Equal(t, <-result, 0)
	waitFor(func() bool { return !s.Object("late").Deleted })
}

// Guards against a list of instances that contains a change before the lag has
// passed.
func TestInstanceLag(t *testing.T) {
	now := time.Unix(0, 0)
	s, url := startServer(t, Config{InstanceLag: time.Second, Now: func() time.Time { return now }})
	steps := []struct {
		advance time.Duration
		change  func()
		want    string
	}{
		{0, func() { sendRequest(t.Context(), "POST", url+PathInstances, 0, api.Instance{ID: "a"}, nil) }, ""},
		{900 * time.Millisecond, func() { s.MarkLeaving("a") }, ""},
		{100 * time.Millisecond, func() {}, "a live,"},
		{900 * time.Millisecond, func() { sendRequest(t.Context(), "DELETE", url+PathInstances+"?id=a", 0, nil, nil) }, "a leaving,"},
		{0, func() { sendRequest(t.Context(), "PUT", url+PathInstanceLag, 0, InstanceLag{}, nil) }, ""},
	}
	for _, step := range steps {
		now = now.Add(step.advance)
		step.change()
		var list api.InstancesResponse
		sendRequest(t.Context(), "GET", url+"/v1/instances", 0, nil, &list)
		got := ""
		for _, i := range list.Instances {
			got += fmt.Sprintf("%s %s,", i.ID, i.State)
		}
		assert.Equal(t, got, step.want)
	}
}
