// Package dev runs a complete deployment in one process, for development and
// tests.
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
	Listen   string `arg:"--listen" default:"127.0.0.1:8080" help:"address at which the first entry serves callers; the second entry uses the next port"`
	LogLevel string `arg:"--log-level" default:"warn" help:"lowest level that is logged: debug, info, warn or error"`
}

// Description implements arg.Described.
func (Args) Description() string {
	return "Runs entries, sidecars and stand-ins for the upstreams and the platform in one process."
}

const (
	// model is the model that the stand-in engines serve.
	model = "nutmeg-30"
	// modelLayers is the number of layers of model.
	modelLayers = 30
	// readyTimeout is the maximum time until the deployment is ready.
	readyTimeout = 20 * time.Second
	// ProfileName is the name of the profile that callers use.
	ProfileName = "announcements"
	// ServiceName is the name of the plain service.
	ServiceName = "accounts"
)

// Keys of the two teams and of the operator. The teams differ only in name and
// key. The keys need not be secret: by default the deployment listens on the
// loopback interface, and it holds no data.
const (
	LargeTeamKey = "dev-key-large-team"
	SmallTeamKey = "dev-key-small-team"
	OperatorKey  = "dev-key-operator"
)

// Options returns the options of the deployment that Run starts. Each address in
// listen adds an entry that serves callers there.
func Options(listen ...string) deployment.Options {
	return deployment.Options{
		CallerAddresses: listen,
		Domains:         []string{"domain-a", "domain-b", "domain-c"},
		Stages:          3,
		Replicas:        2,
		Engine: standinengine.Config{
			Model: model, ModelLayers: modelLayers, Version: "1", Accelerator: "standin",
			MaxBatch: 32, BaseCost: 2 * time.Millisecond, DecodeCost: 50 * time.Microsecond,
			PrefillCost: 20 * time.Microsecond, CacheLimit: 1 << 16,
		},
		Services: []deployment.ServiceOptions{{Name: ServiceName, Replicas: 2}},
		Entry:    entry.Options{Operators: map[string]string{"developer": hashKey(OperatorKey)}},
	}
}

// Run starts the deployment, prints how to use it and serves until ctx is
// cancelled.
func Run(ctx context.Context, args Args, out io.Writer) error {
	secondListen, err := nextAddress(args.Listen)
	if err != nil {
		return err
	}
	log, err := events.New(os.Stderr, args.LogLevel, "console", "dev")
	if err != nil {
		return err
	}
	options := Options(args.Listen, secondListen)
	options.Log = log
	d, err := deployment.Start(options)
	if err != nil {
		return err
	}
	defer d.Close()
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := Configure(readyCtx, d); err != nil {
		return err
	}
	if err := d.WaitReady(readyCtx); err != nil {
		return err
	}
	printAddressesAndExamples(out, d)
	<-ctx.Done()
	return nil
}

// nextAddress returns address with the next port number, or address itself if
// its port is 0.
func nextAddress(address string) (string, error) {
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

// Configure publishes two teams, a profile and a plain service.
func Configure(ctx context.Context, d *deployment.Deployment) error {
	objects := []struct {
		kind config.Kind
		name string
		data any
	}{
		{config.KindTeam, "large", team.Team{Name: "large", Weight: 1, KeyHashes: []string{hashKey(LargeTeamKey)}}},
		{config.KindTeam, "small", team.Team{Name: "small", Weight: 1, KeyHashes: []string{hashKey(SmallTeamKey)}}},
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

// hashKey returns the hexadecimal SHA-256 digest of key.
func hashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

func printAddressesAndExamples(out io.Writer, d *deployment.Deployment) {
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
