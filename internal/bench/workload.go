package bench

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
)

// shape is the size of the requests of a workload.
type shape struct {
	// promptTokens is the length of each prompt.
	promptTokens int
	// minAnswer and maxAnswer bound the answers' lengths, drawn uniformly.
	minAnswer, maxAnswer int
}

// mean returns the mean length of an answer.
func (s shape) mean() float64 { return float64(s.minAnswer+s.maxAnswer) / 2 }

// bound is the most that one replica of a stage can do.
type bound struct {
	requestsPerSecond, tokensPerSecond float64
}

// bestOf computes the bound of one engine from its costs. An iteration costs
// BaseCost, plus DecodeCost for each decode step and PrefillCost for each
// prompt token in it. At best every iteration is full, so that a step bears the
// part 1/MaxBatch of BaseCost. A request is one prefill step and one decode
// step for each token of its answer: the prefill yields the first token, and
// the step after the last token yields the end. All stages have the same costs
// and work at the same time, so a pipeline is bounded by one stage. Prefix
// caches are off.
func bestOf(c standinengine.Config, s shape) bound {
	slot := c.BaseCost.Seconds() / float64(c.MaxBatch)
	request := slot + float64(s.promptTokens)*c.PrefillCost.Seconds() + s.mean()*(slot+c.DecodeCost.Seconds())
	return bound{requestsPerSecond: 1 / request, tokensPerSecond: s.mean() / request}
}

// times returns the bound of n engines.
func (b bound) times(n int) bound {
	return bound{float64(n) * b.requestsPerSecond, float64(n) * b.tokensPerSecond}
}

// job is one request of a workload.
type job struct {
	at      time.Duration
	team    string
	prompt  string
	profile string
}

// poisson draws the arrivals of one team: an open loop, which sends on time
// however slow the answers are.
func poisson(random *rand.Rand, team string, s shape, perSecond float64, lasting time.Duration) []job {
	var jobs []job
	for at := 0.0; ; {
		at += random.ExpFloat64() / perSecond
		if at >= lasting.Seconds() {
			return jobs
		}
		length := s.minAnswer + random.IntN(s.maxAnswer-s.minAnswer+1)
		jobs = append(jobs, job{
			at: time.Duration(at * float64(time.Second)), team: team,
			prompt: promptOf(fmt.Sprintf("%s-%d", team, len(jobs)), s.promptTokens, length),
		})
	}
}

// promptOf makes a prompt of a number of tokens. The stand-in adds a begin
// token; a marker sets the length of the answer. The distinct first word keeps
// prefix affinity from sending all requests to one replica.
func promptOf(first string, tokens, answer int) string {
	words := []string{first}
	for len(words) < tokens-2 {
		words = append(words, fmt.Sprintf("w%d", len(words)))
	}
	return strings.Join(append(words, fmt.Sprintf("[[tokens=%d]]", answer)), " ")
}
