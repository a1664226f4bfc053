package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/google/uuid"

	"github.com/nutmegroute/nutmegroute/internal/adminapi"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/gatewayapi"
	"github.com/nutmegroute/nutmegroute/internal/request"
	"github.com/nutmegroute/nutmegroute/internal/upstream"
)

// Exit codes.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitError means an error for which there is no specific exit code.
	ExitError = 1
	// ExitUsage means invalid arguments.
	ExitUsage = 2
	// ExitConflict means that another change was accepted first.
	ExitConflict = 3
	// ExitNotFound means that the object, instance or request does not exist.
	ExitNotFound = 4
	// ExitUnknownOutcome means that the change may have been accepted.
	ExitUnknownOutcome = 5
	// ExitUnavailable means that the entry, its store or the gateway is
	// unreachable and nothing was changed.
	ExitUnavailable = 6
)

// errUsage is wrapped by errors in the arguments.
var errUsage = errors.New("usage")

// command is one invocation of nutmegctl.
type command struct {
	arguments
	client  *adminapi.Client
	stdin   io.Reader
	printer *printer
	stderr  io.Writer
}

// Run executes nutmegctl with the arguments that follow the program name and
// returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	c := &command{stdin: stdin, stderr: stderr}
	parser, err := arg.NewParser(arg.Config{Program: "nutmegctl", Out: stderr}, &c.arguments)
	if err != nil {
		fmt.Fprintln(stderr, "nutmegctl:", err)
		return ExitError
	}
	switch err := c.parse(parser, args); {
	case errors.Is(err, arg.ErrHelp):
		// This can't fail because the parser itself returned the subcommand
		// names.
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "nutmegctl:", err)
		return ExitUsage
	}
	c.client = adminapi.NewClient(c.Server, c.Key)
	defer c.client.Close()
	c.printer = &printer{w: stdout, json: c.Output == "json"}
	if err := c.run(ctx); err != nil {
		fmt.Fprintln(stderr, "nutmegctl:", err)
		return exitCode(err)
	}
	return ExitOK
}

// parse parses and validates the arguments.
func (c *command) parse(parser *arg.Parser, args []string) error {
	if err := parser.Parse(args); err != nil {
		return err
	}
	if c.Output != "table" && c.Output != "json" {
		return fmt.Errorf("--output must be table or json, is %q", c.Output)
	}
	_, subcommand := c.objectCommand()
	if parser.Subcommand() == nil || subcommand != nil && *subcommand == (objectArgs{}) {
		return errors.New("a command is required")
	}
	return nil
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, adminapi.ErrConflict):
		return ExitConflict
	case errors.Is(err, adminapi.ErrNotFound), errors.Is(err, gatewayapi.ErrNotQuarantined),
		errors.Is(err, gatewayapi.ErrNoRoute):
		return ExitNotFound
	case errors.Is(err, adminapi.ErrUnknownOutcome):
		return ExitUnknownOutcome
	case errors.Is(err, adminapi.ErrUnavailable), errors.Is(err, gatewayapi.ErrUnavailable):
		return ExitUnavailable
	}
	return ExitError
}

func (c *command) run(ctx context.Context) error {
	switch {
	case c.Status != nil && c.Status.Gateway != "":
		return printResult(c.printer, c.printer.writeGateway)(gatewayapi.FetchStatus(ctx, strings.TrimSuffix(c.Status.Gateway, "/")))
	case c.Status != nil:
		return printResult(c.printer, c.printer.writeStatus)(c.client.Status(ctx))
	case c.Release != nil:
		return gatewayapi.Release(ctx, strings.TrimSuffix(c.Release.Gateway, "/"), c.Release.Part)
	case c.Teams != nil:
		return printResult(c.printer, c.printer.writeTeams)(c.client.Teams(ctx))
	case c.Drain != nil:
		return c.client.Drain(ctx, upstream.InstanceID(c.Drain.Instance))
	case c.Audit != nil:
		return printResult(c.printer, c.printer.writeChanges)(c.client.Audit(ctx, config.Revision(c.Audit.After), c.Audit.Limit))
	case c.Explain != nil && c.Explain.RequestID == "":
		return c.explainChoice(ctx, c.Explain)
	case c.Explain != nil:
		id, err := request.ParseID(c.Explain.RequestID)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		return printResult(c.printer, c.printer.writeExplanation)(c.client.Explain(ctx, id))
	}
	kind, subcommand := c.objectCommand()
	return c.runObjectCommand(ctx, kind, subcommand)
}

// explainChoice prints where a request would go now.
func (c *command) explainChoice(ctx context.Context, a *explainArgs) error {
	if a.Gateway == "" || a.Service == "" && a.Host == "" {
		return fmt.Errorf("%w: explain needs a request id, or --gateway with --service or --host", errUsage)
	}
	req := gatewayapi.ExplainRequest{
		Service: a.Service, Host: a.Host, Path: a.Path, Team: a.Team, Tokens: a.Tokens, Kind: a.Kind,
	}
	base := strings.TrimSuffix(a.Gateway, "/")
	return printResult(c.printer, c.printer.writeChoice)(gatewayapi.FetchExplanation(ctx, base, req))
}

func (c *command) runObjectCommand(ctx context.Context, kind config.Kind, a *objectArgs) error {
	switch {
	case a.List != nil:
		return printResult(c.printer, c.printer.writeObjects)(c.client.Objects(ctx, kind))
	case a.History != nil:
		return printResult(c.printer, c.printer.writeChanges)(c.client.History(ctx, kind, a.History.Name, a.History.Limit))
	case a.Apply != nil:
		return c.apply(ctx, kind, a.Apply)
	case a.Delete != nil:
		p := config.Proposal{Kind: kind, Name: a.Delete.Name, Deleted: true}
		return c.propose(ctx, p, nil, a.Delete.changeArgs)
	}
	o, err := c.client.Object(ctx, kind, a.Get.Name)
	if err == nil && o.Deleted {
		return fmt.Errorf("%w: deleted at revision %d by %s", adminapi.ErrNotFound, o.Version, o.Author)
	}
	return printResult(c.printer, c.printer.writeObject)(o, err)
}

// apply proposes a change to the object in a file.
func (c *command) apply(ctx context.Context, kind config.Kind, a *applyArgs) error {
	data, err := c.readFile(a.File)
	if err != nil {
		return err
	}
	value, base, err := parseObject(kind, data)
	if err != nil {
		return err
	}
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(value, &named); err != nil || named.Name == "" {
		return fmt.Errorf("%w: the object has no name", adminapi.ErrInvalid)
	}
	return c.propose(ctx, config.Proposal{Kind: kind, Name: named.Name, Value: value}, base, a.changeArgs)
}

// readFile reads a file, or standard input if file is "-". It limits the size
// to what the admin API accepts.
func (c *command) readFile(file string) ([]byte, error) {
	r := c.stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		r = f
	}
	data, err := io.ReadAll(io.LimitReader(r, adminapi.MaxBodyBytes+1))
	if err == nil && len(data) > adminapi.MaxBodyBytes {
		err = fmt.Errorf("%w: the file exceeds %d bytes", adminapi.ErrInvalid, adminapi.MaxBodyBytes)
	}
	return data, err
}

// parseObject returns the object's value in the data of a file. If the file
// contains the JSON output of get, parseObject also returns the version that
// the operator read.
func parseObject(kind config.Kind, data []byte) (json.RawMessage, *config.Revision, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", adminapi.ErrInvalid, err)
	}
	if fields["kind"] == nil || fields["value"] == nil {
		return data, nil, nil
	}
	var o config.Object
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", adminapi.ErrInvalid, err)
	}
	if o.Kind != kind {
		return nil, nil, fmt.Errorf("%w: the file holds a %s", adminapi.ErrInvalid, o.Kind)
	}
	return o.Value, &o.Version, nil
}

// propose sends a change. Repeating a change requires the base version of the
// first attempt: the current version may already be the result of that attempt,
// and an entry that no longer stores the first change would apply it twice.
func (c *command) propose(ctx context.Context, p config.Proposal, base *config.Revision, a changeArgs) error {
	switch {
	case a.Base != nil:
		p.Base = config.Revision(*a.Base)
	case base != nil:
		p.Base = *base
	case a.ChangeID != "":
		return fmt.Errorf("%w: --change-id needs --base", errUsage)
	default:
		o, err := c.client.Object(ctx, p.Kind, p.Name)
		if err != nil && !errors.Is(err, adminapi.ErrNotFound) {
			return err
		}
		p.Base = o.Version
	}
	p.ID = a.ChangeID
	if p.ID == "" {
		id, err := uuid.NewV7()
		if err != nil {
			return err
		}
		p.ID = id.String()
	}
	change, err := c.client.Propose(ctx, p)
	if err != nil {
		c.explainFailure(p, err)
		return err
	}
	return c.printer.writeChange(change)
}

// explainFailure tells the operator what to do after a conflict or an unknown
// outcome.
func (c *command) explainFailure(p config.Proposal, err error) {
	var e *adminapi.Error
	if !errors.As(err, &e) {
		return
	}
	switch e.Code {
	case adminapi.CodeConflict:
		fmt.Fprintf(c.stderr, "%s %s was changed at revision %d by %s (change %s); read it again and apply the change to it\n",
			p.Kind, p.Name, e.Revision, e.Author, e.ChangeID)
	case adminapi.CodeUnknownOutcome:
		fmt.Fprintf(c.stderr, "the change may have been accepted; repeating it is safe with --change-id %s --base %d\n", p.ID, p.Base)
	}
}
