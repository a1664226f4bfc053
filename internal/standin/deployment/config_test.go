package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/adminapi"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/entry"
	"github.com/nutmegroute/nutmegroute/internal/operation"
	"github.com/nutmegroute/nutmegroute/internal/profile"
)

// Guards against the acceptance of two concurrent changes with the same base
// revision, a conflict that does not name the accepted change, a change that is lost
// or duplicated when the response to its write is lost, and an audit trail that lacks
// a change.
func TestConcurrentChangesThroughTwoEntries(t *testing.T) {
	const operators, rounds = 6, 8
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	options := entry.Options{Operators: make(map[string]string)}
	for i := range operators {
		options.Operators[fmt.Sprintf("op%d", i)] = operation.Digest(fmt.Appendf(nil, "key%d", i))
	}
	d, err := Start(Options{CallerAddresses: []string{loopbackAddress, loopbackAddress}, Domains: []string{"a"}, Entry: options})
	assert.NilError(t, err)
	t.Cleanup(d.Close)

	var base config.Revision
	accepted := make(map[string]string)
	for round := range rounds {
		faults := d.Platform.Faults()
		faults.LoseResponses, faults.LosePrefix = round%2, "config/changes/"
		d.Platform.SetFaults(faults)
		var wg sync.WaitGroup
		changes := make([]config.Change, operators)
		errs := make([]error, operators)
		for i := range operators {
			wg.Go(func() {
				client := adminapi.NewClient("http://"+d.Entries[i%2].AdminAddress(), fmt.Sprintf("key%d", i))
				defer client.Close()
				// MaxTokens makes the value of each change unique.
				value, err := json.Marshal(profile.Profile{Name: "p", Model: "m", MaxTokens: 1 + round*operators + i})
				assert.Check(t, err)
				changes[i], errs[i] = client.Propose(ctx, config.Proposal{
					ID: uuid.NewString(), Kind: config.KindProfile, Name: "p", Base: base, Value: value,
				})
			})
		}
		wg.Wait()
		winner := -1
		for i, err := range errs {
			if err == nil {
				assert.Equal(t, winner, -1, "two changes with the same base revision were accepted")
				winner = i
			}
		}
		assert.Assert(t, winner >= 0, "%v", errs)
		for i, err := range errs {
			var conflict *adminapi.Error
			if i != winner {
				assert.Assert(t, errors.As(err, &conflict) && errors.Is(err, adminapi.ErrConflict), "%v", err)
				assert.Equal(t, conflict.ChangeID, changes[winner].ID)
				assert.Equal(t, conflict.Author, fmt.Sprintf("op%d", winner))
			}
		}
		base = changes[winner].Revision
		accepted[changes[winner].ID] = changes[winner].Author
	}
	client := adminapi.NewClient("http://"+d.Entries[1].AdminAddress(), "key0")
	defer client.Close()
	auditTrail, err := client.Audit(ctx, 0, 100)
	assert.NilError(t, err)
	assert.Equal(t, len(auditTrail), rounds)
	for i, c := range auditTrail {
		assert.Equal(t, accepted[c.ID], c.Author)
		if i > 0 {
			assert.Equal(t, string(c.Before), string(auditTrail[i-1].After))
		}
	}
}
