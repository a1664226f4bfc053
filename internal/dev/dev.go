// Package dev runs a whole deployment in one process for newcomers and tests.
package dev

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/entry"
	"github.com/nutmegroute/nutmegroute/internal/events"
	"github.com/nutmegroute/nutmegroute/internal/profile"
	"github.com/nutmegroute/nutmegroute/internal/standin/deployment"
	standinengine "github.com/nutmegroute/nutmegroute/internal/standin/engine"
	"github.com/nutmegroute/nutmegroute/internal/team"
)

// Args are the command-line arguments.
type Args struct {
	Listen   string `arg:"--listen" default:"127.0.0.1:8080" help:"callers' address of the first entry; the second entry takes the next port"`
	LogLevel string `arg:"--log-level" default:"warn" help:"lowest level that is logged: debug, info, warn or error"`
}

// Description implements the description of the go-arg package.
func (Args) Description() string {
	return "Runs entries, sidecars and stand-ins of the systems they serve in one process."
}

const (
	// model is the model that the stand-in engines serve.
	model = "nutmeg-30"
	// modelLayers is the number of its layers.
	modelLayers = 30
	// readyTimeout bounds the start.
	readyTimeout = 20 * time.Second
	// ProfileName is the profile that callers use.
	ProfileName = "announcements"
	// ServiceName is the plain service.
	ServiceName = "accounts"
)

// Keys of the two teams. They are published on purpose: the deployment listens
// on the loopback interface and holds no data.
const (
	LargeTeamKey = "dev-key-large-team"
	SmallTeamKey = "dev-key-small-team"
	OperatorKey  = "dev-key-operator"
)

// Options returns the deployment that Run starts, for the given callers'
// addresses.
func Options(listen ...string) deployment.Options {
	return deployment.Options{
		CallerListen: listen,
		Domains:      []string{"domain-a", "domain-b", "domain-c"},
		Stages:       3,
		Replicas:     2,
		Engine: standinengine.Config{
			Model: model, ModelLayers: modelLayers, Version: "1", Accelerator: "standin",
			MaxBatch: 32, BaseCost: 2 * time.Millisecond, DecodeCost: 50 * time.Microsecond,
			PrefillCost: 20 * time.Microsecond, CacheLimit: 1 << 16,
		},
		Services: []deployment.ServiceOptions{{Name: ServiceName, Replicas: 2}},
		Entry:    entry.Options{Operators: map[string]string{"developer": hash(OperatorKey)}},
	}
}

// Run starts the deployment, prints how to use it and serves until ctx ends.
func Run(ctx context.Context, args Args, out io.Writer) error {
	second, err := nextPort(args.Listen)
	if err != nil {
		return err
	}
	log, err := events.New(os.Stderr, args.LogLevel, "console", "dev")
	if err != nil {
		return err
	}
	options := Options(args.Listen, second)
	options.Log = log
	d, err := deployment.Start(options)
	if err != nil {
		return err
	}
	defer d.Close()
	ctx2, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := Configure(ctx2, d); err != nil {
		return err
	}
	if err := d.WaitReady(ctx2); err != nil {
		return err
	}
	printUsage(out, d)
	<-ctx.Done()
	return nil
}

func nextPort(address string) (string, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return "", fmt.Errorf("--listen: %w", err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		return "", fmt.Errorf("--listen: %w", err)
	}
	if n == 0 {
		return address, nil
	}
	return net.JoinHostPort(host, strconv.Itoa(n+1)), nil
}

// Configure publishes two teams, a profile and a service.
func Configure(ctx context.Context, d *deployment.Deployment) error {
	objects := []struct {
		kind config.Kind
		name string
		data any
	}{
		{config.KindTeam, "large", team.Team{Name: "large", Weight: 1, KeyHashes: []string{hash(LargeTeamKey)}}},
		{config.KindTeam, "small", team.Team{Name: "small", Weight: 1, KeyHashes: []string{hash(SmallTeamKey)}}},
		{config.KindProfile, ProfileName, profile.Profile{Name: ProfileName, Model: model}},
		{config.KindService, ServiceName, config.Service{Name: ServiceName, Operations: []config.Operation{
			{Name: "purchase"}, {Name: "executions", Idempotent: true},
		}}},
	}
	for _, o := range objects {
		data, err := json.Marshal(o.data)
		if err != nil {
			return fmt.Errorf("dev: %w", err)
		}
		proposal := config.Proposal{ID: uuid.Must(uuid.NewV7()).String(), Author: "developer", Kind: o.kind, Name: o.name, Value: data}
		if err := d.Apply(ctx, proposal); err != nil {
			return fmt.Errorf("dev: %s %s: %w", o.kind, o.name, err)
		}
	}
	return nil
}

func hash(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func printUsage(out io.Writer, d *deployment.Deployment) {
	for i, e := range d.Entries {
		fmt.Fprintf(out, "entry %d       http://%s\n", i, e.CallerAddress())
	}
	fmt.Fprintf(out, "operators     http://%s  key %s\nplatform      %s\n", d.Entries[0].AdminAddress(), OperatorKey, d.PlatformURL)
	fmt.Fprintf(out, "team large    %s\nteam small    %s\n\n", LargeTeamKey, SmallTeamKey)
	address := d.Entries[0].CallerAddress()
	fmt.Fprintf(out, "Try:\n\n")
	fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n", address, SmallTeamKey)
	fmt.Fprintf(out, "    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Platform two is closed today\"}]}'\n\n", ProfileName)
	fmt.Fprintf(out, "  curl -X POST http://%s/v1/services/%s/purchase -H 'Authorization: Bearer %s' \\\n", address, ServiceName, SmallTeamKey)
	fmt.Fprintf(out, "    -H 'Idempotency-Key: purchase-1' -d '{\"pack\":\"arabic-1\"}'\n\n")
	fmt.Fprintf(out, "  curl http://%s/v1/services/%s/executions -H 'Authorization: Bearer %s'\n", address, ServiceName, SmallTeamKey)
}
