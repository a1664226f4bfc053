package events

import "github.com/rs/zerolog"

// Events of limits and fairness, 1500 to 1599.
var (
	TeamRefused = define(1500, "team-refused", zerolog.WarnLevel,
		"Requests of a team above its weighted share were refused as not-run.",
		"Compare the teams' load; add upstreams or change weights.")
	QueueFull = define(1501, "queue-full", zerolog.WarnLevel,
		"A sidecar's queue is full and refuses work.", "Add upstreams, or raise max_queue or max_queue_tokens.")
	DeadlineUnreachable = define(1502, "deadline-unreachable", zerolog.WarnLevel,
		"Work was refused because its deadline can't be met.",
		"Add upstreams or raise the profile's deadline.")
	RetryBudgetExhausted = define(1503, "retry-budget-spent", zerolog.WarnLevel,
		"A team's retry budget is exhausted; failed requests of the team are not retried.",
		"Find the failing upstreams; the budget refills automatically.")
)
