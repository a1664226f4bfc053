package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/profile"
	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
	"github.com/nutmegroute/nutmegroute/internal/team"
)

const (
	benchModel  = "bench"
	modelLayers = 30
	// readyTimeout bounds the start of a deployment.
	readyTimeout = 30 * time.Second
	// An interrupted answer resumes on other upstreams with resumeProfile and
	// fails with noResumeProfile.
	resumeProfile   = "bench-resume"
	noResumeProfile = "bench-no-resume"
	smallTeam       = "small"
	largeTeam       = "large"
)

// setup describes a deployment for an experiment.
type setup struct {
	// naive selects the baseline: round robin without admission control, one
	// FIFO queue for all teams in each sidecar, no resuming, and a caller that
	// retries the whole request.
	naive            bool
	stages, replicas int
	entries          int
	engine           standinengine.Config
	// firstToken and deadline are the profile's targets.
	firstToken, deadline time.Duration
	// modifyOptions, unless nil, changes the options of the deployment.
	modifyOptions func(*deployment.Options)
}

// environment is a running deployment, the setup it was started with, and a
// client of its first entry.
type environment struct {
	*deployment.Deployment
	setup  setup
	client *client
}

// startEnvironment starts and configures a deployment and waits until it is ready.
func startEnvironment(ctx context.Context, s setup) (*environment, error) {
	s.engine.Model, s.engine.ModelLayers, s.engine.Version, s.engine.Accelerator = benchModel, modelLayers, "1", "standin"
	options := deployment.Options{
		Domains: []string{"domain-a", "domain-b", "domain-c"},
		Stages:  s.stages, Replicas: s.replicas, Engine: s.engine,
	}
	for range max(s.entries, 1) {
		options.CallerAddresses = append(options.CallerAddresses, "127.0.0.1:0")
	}
	options.Entry.DrainDelay = time.Millisecond
	options.Entry.DrainTimeout = time.Second
	options.Sidecar.DrainTimeout = time.Second
	options.Entry.RoundRobin = s.naive
	options.Sidecar.FIFO = s.naive
	if s.modifyOptions != nil {
		s.modifyOptions(&options)
	}
	d, err := deployment.Start(options)
	if err != nil {
		return nil, err
	}
	e := &environment{Deployment: d, setup: s}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := e.configure(ctx); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.WaitReady(ctx); err != nil {
		d.Close()
		return nil, err
	}
	e.client = newClient(d.Entries[0].CallerAddress(), s.deadline, s.naive)
	return e, nil
}

func (e *environment) close() {
	e.client.close()
	e.Close()
}

func (e *environment) profileName() string {
	if e.setup.naive {
		return noResumeProfile
	}
	return resumeProfile
}

// configure creates the teams and profiles of the experiments.
func (e *environment) configure(ctx context.Context) error {
	p := profile.Profile{
		Name: resumeProfile, Model: benchModel,
		FirstTokenMillis: int(e.setup.firstToken.Milliseconds()), DeadlineMillis: int(e.setup.deadline.Milliseconds()),
	}
	noResume := p
	noResume.Name, noResume.NoResume = noResumeProfile, true
	objects := []struct {
		kind config.Kind
		name string
		data any
	}{
		{config.KindTeam, smallTeam, team.Team{Name: smallTeam, Weight: 1, KeyHashes: []string{apiKeyHash(smallTeam)}}},
		{config.KindTeam, largeTeam, team.Team{Name: largeTeam, Weight: 1, KeyHashes: []string{apiKeyHash(largeTeam)}}},
		{config.KindProfile, p.Name, p},
		{config.KindProfile, noResume.Name, noResume},
	}
	for _, o := range objects {
		if err := e.apply(ctx, o.kind, o.name, o.data); err != nil {
			return err
		}
	}
	return nil
}

// apply makes a change of the configuration.
func (e *environment) apply(ctx context.Context, kind config.Kind, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	proposal := config.Proposal{ID: uuid.Must(uuid.NewV7()).String(), Author: "bench", Kind: kind, Name: name, Value: data}
	if err := e.Apply(ctx, proposal); err != nil {
		return fmt.Errorf("configure %s %s: %w", kind, name, err)
	}
	return nil
}

// apiKey returns the API key of a team.
func apiKey(name string) string { return "bench-key-" + name }

func apiKeyHash(name string) string {
	digest := sha256.Sum256([]byte(apiKey(name)))
	return hex.EncodeToString(digest[:])
}

// assignProfile sets the profile of all jobs to that of the setup and returns them.
func (e *environment) assignProfile(jobs []job) []job {
	for i := range jobs {
		jobs[i].profile = e.profileName()
	}
	return jobs
}

// warmUp sends requests at a low rate, so that connections are established and the
// sidecars have measured the duration of a step before an experiment starts.
func (e *environment) warmUp(ctx context.Context, s requestShape) {
	var jobs []job
	for i := range 6 * e.setup.replicas {
		jobs = append(jobs, job{
			arrival: time.Duration(i) * 20 * time.Millisecond, team: smallTeam,
			prompt: buildPrompt(fmt.Sprintf("warm-%d", i), s.promptTokens, s.minOutput),
		})
	}
	e.client.sendAll(ctx, e.assignProfile(jobs))
}
