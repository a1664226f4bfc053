package bench

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// requestShape is the prompt length and the range of response lengths of the
// requests of a workload.
type requestShape struct {
	// promptTokens is the length of each prompt.
	promptTokens int
	// minOutput and maxOutput bound the number of tokens of a response, which is
	// drawn uniformly.
	minOutput, maxOutput int
}

// meanOutput returns the mean number of tokens of a response.
func (s requestShape) meanOutput() float64 { return float64(s.minOutput+s.maxOutput) / 2 }

// throughputBound is an upper bound on the throughput of one or more engines.
type throughputBound struct {
	requestsPerSecond, tokensPerSecond float64
}

// engineBound computes the throughput bound of one engine from its costs. An
// iteration takes BaseCost, plus DecodeCost for each decode step and PrefillCost
// for each prompt token in it. In the best case every iteration is full, so that
// the share of a step in BaseCost is 1/MaxBatch. A request takes one prefill step
// and one decode step for each token of its response: the prefill yields the first
// token, and the step after the last token yields the end. All stages have the
// same costs and work at the same time, so one stage bounds a pipeline. Prefix
// caches are off.
func engineBound(c standinengine.Config, s requestShape) throughputBound {
	baseCostPerStep := c.BaseCost.Seconds() / float64(c.MaxBatch)
	costPerRequest := baseCostPerStep + float64(s.promptTokens)*c.PrefillCost.Seconds() + s.meanOutput()*(baseCostPerStep+c.DecodeCost.Seconds())
	return throughputBound{requestsPerSecond: 1 / costPerRequest, tokensPerSecond: s.meanOutput() / costPerRequest}
}

// times returns the bound of n engines.
func (b throughputBound) times(n int) throughputBound {
	return throughputBound{float64(n) * b.requestsPerSecond, float64(n) * b.tokensPerSecond}
}

// job is one request of a workload.
type job struct {
	// arrival is the time from the start of the load until the request is due.
	arrival time.Duration
	team    string
	prompt  string
	profile string
}

// poissonJobs draws the requests of one team as a Poisson process. The load is
// an open loop: arrival times do not depend on how fast earlier requests end.
func poissonJobs(random *rand.Rand, team string, s requestShape, requestsPerSecond float64, duration time.Duration) []job {
	var jobs []job
	for arrivalSeconds := 0.0; ; {
		arrivalSeconds += random.ExpFloat64() / requestsPerSecond
		if arrivalSeconds >= duration.Seconds() {
			return jobs
		}
		outputTokens := s.minOutput + random.IntN(s.maxOutput-s.minOutput+1)
		jobs = append(jobs, job{
			arrival: time.Duration(arrivalSeconds * float64(time.Second)), team: team,
			prompt: buildPrompt(fmt.Sprintf("%s-%d", team, len(jobs)), s.promptTokens, outputTokens),
		})
	}
}

// buildPrompt builds a prompt with a number of tokens, one per word. The stand-in
// engine adds a begin token; a marker word sets the length of the response. The
// distinct first word keeps prefix affinity from sending all requests to one
// replica.
func buildPrompt(firstWord string, tokens, outputTokens int) string {
	words := []string{firstWord}
	for len(words) < tokens-2 {
		words = append(words, fmt.Sprintf("w%d", len(words)))
	}
	return strings.Join(append(words, fmt.Sprintf("[[tokens=%d]]", outputTokens)), " ")
}
