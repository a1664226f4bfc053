package deployment

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/platform/objectstore"
	"github.com/nutmegroute/nutmegroute/internal/service"
	standinservice "github.com/nutmegroute/nutmegroute/internal/standin/service"
	"github.com/nutmegroute/nutmegroute/internal/team"
)

// Guards against a purchase that is refused although another sidecar can reach the
// service. The first sidecar can't connect to its upstream, so it has sent nothing
// and releases the claim.
func TestReleasedClaimIsTakenByAnotherSidecar(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	d, err := Start(Options{CallerAddresses: []string{loopbackAddress}, Domains: []string{"a"}})
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	server := standinservice.NewServer(standinservice.Options{})
	liveURL, err := d.serve(server.Handler())
	assert.NilError(t, err)
	reserved, err := net.Listen("tcp", loopbackAddress)
	assert.NilError(t, err)
	downURL := "http://" + reserved.Addr().String()
	for id, url := range map[string]string{"live": liveURL, "down": downURL} {
		options := d.options.Sidecar
		options.ID, options.FailureDomain, options.ServiceName = id, "a", "accounts"
		options.Service = service.NewClient(url, nil)
		options.Claimer = operation.NewClaimer(objectstore.NewRecords(d.PlatformClient), operation.Options{})
		_, _, err := d.startSidecar(options)
		assert.NilError(t, err)
	}
	const key = "key"
	apply := func(kind config.Kind, name string, value any) {
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		assert.NilError(t, d.Apply(ctx, config.Proposal{ID: string(kind), Author: "test", Kind: kind, Name: name, Value: data}))
	}
	apply(config.KindTeam, "packs", team.Team{Name: "packs", KeyHashes: []string{operation.Digest([]byte(key))}})
	apply(config.KindService, "accounts", config.Service{Name: "accounts", Operations: []config.Operation{{Name: "purchase"}}})
	assert.NilError(t, d.WaitReady(ctx))
	assert.NilError(t, reserved.Close())

	before := d.Platform.Counters()
	for _, idempotencyKey := range []string{"1", "2", "3", "4", "5", "6"} {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost,
			"http://"+d.Entries[0].CallerAddress()+"/v1/services/accounts/purchase", strings.NewReader("{}"))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+key)
		r.Header.Set("Idempotency-Key", idempotencyKey)
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Equal(t, response.Header.Get("Nutmegroute-Outcome"), "completed", "%s", body)
	}
	assert.Equal(t, len(server.Executions()), 6)
	// A purchase costs one write for the claim and one for the outcome; a claim
	// that is released and taken again costs two more. The operations page and the
	// capacity page of the documentation are based on these costs.
	writes := d.Platform.Counters().Writes - before.Writes
	assert.Assert(t, writes >= 2*6 && writes <= 4*6, "%d writes for 6 purchases", writes)
}
