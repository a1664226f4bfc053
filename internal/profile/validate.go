package profile

import "github.com/nutmegroute/nutmegroute/internal/validate"

// Defaults of a profile's fields.
const (
	DefaultFirstTokenMillis    = 470
	DefaultBetweenTokensMillis = 26
	DefaultDeadlineMillis      = 60_000
	DefaultWorth               = 1.0
	DefaultMaxTokens           = 1024
	DefaultRetryBudget         = 0.2
)

// Limits of a profile's fields.
const (
	MaxPriority       = 9
	MaxDeadlineMillis = 3_600_000
	MaxWorth          = 1e9
	MaxTokensLimit    = 1 << 20
)

// WithDefaults returns a copy of p in which every unset field has its default.
func (p Profile) WithDefaults() Profile {
	setDefault(&p.FirstTokenMillis, DefaultFirstTokenMillis)
	setDefault(&p.BetweenTokensMillis, DefaultBetweenTokensMillis)
	setDefault(&p.DeadlineMillis, DefaultDeadlineMillis)
	setDefault(&p.Worth, DefaultWorth)
	setDefault(&p.MaxTokens, DefaultMaxTokens)
	setDefault(&p.RetryBudget, DefaultRetryBudget)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate checks p with its defaults applied. It returns a *validate.Error with
// the JSON name of the first invalid field.
func (p *Profile) Validate() error {
	d := p.WithDefaults()
	err := validate.FirstError(
		validate.Name("name", d.Name),
		validate.Reference("model", d.Model),
		validate.Range("priority", d.Priority, 0, MaxPriority),
		validate.Range("deadline_ms", d.DeadlineMillis, 1, MaxDeadlineMillis),
		validate.Range("first_token_ms", d.FirstTokenMillis, 1, d.DeadlineMillis),
		validate.Range("between_tokens_ms", d.BetweenTokensMillis, 1, d.DeadlineMillis),
		validate.Range("worth", d.Worth, 0, MaxWorth),
		validate.Range("max_tokens", d.MaxTokens, 1, MaxTokensLimit),
		validate.Range("retry_budget", d.RetryBudget, 0, 1),
	)
	if err != nil {
		return err
	}
	seen := make(map[string]bool, len(d.FailureDomains))
	for _, domain := range d.FailureDomains {
		if err := validate.Reference("failure_domains", domain); err != nil {
			return err
		}
		if seen[domain] {
			return validate.Errorf("failure_domains", "%q is listed twice", domain)
		}
		seen[domain] = true
	}
	return nil
}
