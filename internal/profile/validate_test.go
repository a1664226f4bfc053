package profile

import (
	"errors"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/nutmegroute/nutmegroute/internal/validate"
)

// Guards against accepting invalid profiles, against errors that name the wrong
// field, and against a missing default of the time to the first token.
func TestProfileValidate(t *testing.T) {
	for _, tc := range []struct {
		invalidField string // "" if the profile is valid
		edit         func(*Profile)
	}{
		{"", func(*Profile) {}},
		{"name", func(p *Profile) { p.Name = "a/b" }},
		{"model", func(p *Profile) { p.Model = "" }},
		{"priority", func(p *Profile) { p.Priority = 10 }},
		{"first_token_ms", func(p *Profile) { p.FirstTokenMillis = 60_001 }},
		{"deadline_ms", func(p *Profile) { p.DeadlineMillis = -1 }},
		{"worth", func(p *Profile) { p.Worth = math.NaN() }},
		{"max_tokens", func(p *Profile) { p.MaxTokens = -1 }},
		{"retry_budget", func(p *Profile) { p.RetryBudget = 1.1 }},
		{"failure_domains", func(p *Profile) { p.FailureDomains = []string{"a", "a"} }},
	} {
		p := Profile{Name: "desk", Model: "desk-7b"}
		tc.edit(&p)
		err := p.Validate()
		var invalid *validate.Error
		if errors.As(err, &invalid) {
			assert.Equal(t, invalid.Field, tc.invalidField)
		} else {
			assert.NilError(t, err)
			assert.Equal(t, tc.invalidField, "")
		}
	}
	assert.Equal(t, Profile{}.WithDefaults().FirstTokenMillis, DefaultFirstTokenMillis)
}
