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
	// profileOurs lets an answer resume on other stages, profileNaive does not.
	profileOurs  = "bench-resume"
	profileNaive = "bench-no-resume"
	smallTeam    = "small"
	largeTeam    = "large"
)

// setup describes a deployment for an experiment.
type setup struct {
	// naive switches every rule of ours off: round robin without admission
	// control, one queue in order of arrival, no resuming, and a caller that
	// repeats the whole request.
	naive            bool
	stages, replicas int
	entries          int
	engine           standinengine.Config
	// firstToken and deadline are the profile's targets.
	firstToken, deadline time.Duration
	change               func(*deployment.Options)
}

// environment is a running deployment with its configuration.
type environment struct {
	*deployment.Deployment
	setup  setup
	client *client
}

// start starts a deployment and waits until it is ready.
func start(ctx context.Context, s setup) (*environment, error) {
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
	if s.change != nil {
		s.change(&options)
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

func (e *environment) profile() string {
	if e.setup.naive {
		return profileNaive
	}
	return profileOurs
}

func (e *environment) configure(ctx context.Context) error {
	p := profile.Profile{
		Name: profileOurs, Model: benchModel,
		FirstTokenMillis: int(e.setup.firstToken.Milliseconds()), DeadlineMillis: int(e.setup.deadline.Milliseconds()),
	}
	noResume := p
	noResume.Name, noResume.NoResume = profileNaive, true
	objects := []struct {
		kind config.Kind
		name string
		data any
	}{
		{config.KindTeam, smallTeam, team.Team{Name: smallTeam, Weight: 1, KeyHashes: []string{keyHash(smallTeam)}}},
		{config.KindTeam, largeTeam, team.Team{Name: largeTeam, Weight: 1, KeyHashes: []string{keyHash(largeTeam)}}},
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

// apply accepts a change of the configuration.
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

// keyOf returns the API key of a team.
func keyOf(name string) string { return "bench-key-" + name }

func keyHash(name string) string {
	digest := sha256.Sum256([]byte(keyOf(name)))
	return hex.EncodeToString(digest[:])
}

// assign sets the profile of all jobs.
func (e *environment) assign(jobs []job) []job {
	for i := range jobs {
		jobs[i].profile = e.profile()
	}
	return jobs
}

// warmUp sends requests at a low rate, so that connections stand and the
// sidecars know the duration of a step before anything is measured.
func (e *environment) warmUp(ctx context.Context, s shape) {
	var jobs []job
	for i := range 6 * e.setup.replicas {
		jobs = append(jobs, job{
			at: time.Duration(i) * 20 * time.Millisecond, team: smallTeam,
			prompt: promptOf(fmt.Sprintf("warm-%d", i), s.promptTokens, s.minAnswer),
		})
	}
	e.client.load(ctx, e.assign(jobs))
}
