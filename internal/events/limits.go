package events

import "github.com/rs/zerolog"

// Events of limits and fairness, 1500 to 1599.
var (
	TeamRefused = define(1500, "team-refused", zerolog.WarnLevel,
		"A request was refused as not-run, because its team is above its weighted share and its first token would be late.",
		"Compare the teams' load; add upstreams or change weights.")
	QueueFull = define(1501, "queue-full", zerolog.WarnLevel,
		"A sidecar refused a sequence because its queue is full.", "Add upstreams, or raise max_queue or max_queue_tokens.")
	DeadlineUnreachable = define(1502, "deadline-unreachable", zerolog.WarnLevel,
		"A request or sequence was refused because its deadline can't be met.",
		"Add upstreams or raise the profile's deadline.")
	RetryBudgetExhausted = define(1503, "retry-budget-spent", zerolog.WarnLevel,
		"A team's retry budget is exhausted; failed requests of the team are not retried.",
		"Find the failing upstreams; the budget refills automatically.")
)
