package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/nutmegroute/nutmegroute/internal/adminapi"
	"github.com/nutmegroute/nutmegroute/internal/config"
	"github.com/nutmegroute/nutmegroute/internal/gatewayapi"
	"github.com/nutmegroute/nutmegroute/internal/pipeline"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// printer writes results as tables or JSON.
type printer struct {
	w    io.Writer
	json bool
}

// printResult returns a function that takes the results of a call. It prints
// the value as JSON or with table, or returns the error of the call.
func printResult[T any](p *printer, table func(T) error) func(T, error) error {
	return func(v T, err error) error {
		if err != nil {
			return err
		}
		if p.json {
			return p.writeJSON(v)
		}
		return table(v)
	}
}

func (p *printer) writeJSON(v any) error {
	e := json.NewEncoder(p.w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeTable writes a header and rows in aligned columns, with "-" for empty
// cells. The column names in header are separated by spaces.
func (p *printer) writeTable(header string, rows [][]any) error {
	w := tabwriter.NewWriter(p.w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.Join(strings.Fields(header), "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			if cells[i] = fmt.Sprint(cell); cells[i] == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func (p *printer) writeObject(o config.Object) error {
	_, err := fmt.Fprintf(p.w, "version %d, changed by %s at %s (change %s)\n", o.Version, o.Author, formatTime(o.Time), o.ChangeID)
	if err != nil {
		return err
	}
	return p.writeJSON(o.Value)
}

func (p *printer) writeObjects(objects []config.Object) error {
	rows := make([][]any, len(objects))
	for i, o := range objects {
		rows[i] = []any{o.Name, o.Version, o.Author, formatTime(o.Time), string(o.Value)}
	}
	return p.writeTable("NAME VERSION AUTHOR TIME VALUE", rows)
}

// writeGateway prints the state of a gateway, the chains that it knows and the
// layers that the instances hold.
func (p *printer) writeGateway(s gatewayapi.Status) error {
	_, err := fmt.Fprintf(p.w, "%s in %s: ready %t, configuration %d (outdated %t), places layers %t, %d gateways, %d in flight\n\n",
		s.Instance, s.FailureDomain, s.Ready, s.Configuration, s.Outdated, s.Leads, s.Gateways, s.InFlight)
	if err != nil {
		return err
	}
	chains := make([][]any, len(s.Coverage))
	for i, c := range s.Coverage {
		chains[i] = []any{c.Service, c.FailureDomain, c.Instances, c.Missing}
	}
	if err := p.writeTable("SERVICE DOMAIN INSTANCES MISSING-LAYERS", chains); err != nil {
		return err
	}
	fmt.Fprintln(p.w)
	instances := make([][]any, len(s.Instances))
	for i, in := range s.Instances {
		layers := fmt.Sprintf("%d-%d", in.From, in.To)
		used := fmt.Sprintf("%.0f%%", percent*in.KVCacheUsed)
		instances[i] = []any{in.ID, in.Service, in.FailureDomain, in.Accelerator, layers, instanceState(in), in.Requests, used}
	}
	if err := p.writeTable("INSTANCE SERVICE DOMAIN ACCELERATOR LAYERS STATE REQUESTS KV-CACHE", instances); err != nil {
		return err
	}
	if len(s.Quarantined) == 0 {
		return nil
	}
	fmt.Fprintln(p.w)
	parts := make([][]any, len(s.Quarantined))
	for i, q := range s.Quarantined {
		parts[i] = []any{q.Part, fmt.Sprintf("%.0f", q.AgeSeconds), q.Instances}
	}
	return p.writeTable("QUARANTINED-PART AGE-S CRASHED-INSTANCES", parts)
}

// writeChoice prints where a request would go now.
func (p *printer) writeChoice(e gatewayapi.Explanation) error {
	fmt.Fprintf(p.w, "route %s, service %s, rank %d, %d tokens: %s", e.Route, e.Service, e.Rank, e.Tokens, e.Outcome)
	if e.Reason != "" {
		fmt.Fprintf(p.w, " (%s), at most %.2f s, then Retry-After %.2f to %.2f s", e.Reason, e.WaitSeconds,
			e.MinRetryAfterSeconds, e.MaxRetryAfterSeconds)
	}
	fmt.Fprintf(p.w, "\ndemand %.0f%% of %.0f tokens, %.0f%% of each instance stays free\n", percent*e.Pressure, e.CapacityTokens,
		percent*e.ReservedShare)
	fmt.Fprintf(p.w, "configuration %d, confirmed %.1f s ago; oldest report %.1f s\n\n", e.Configuration,
		e.Ages.ConfigurationSeconds, e.Ages.OldestReportSeconds)
	choices := make([][]any, len(e.Choices))
	for i, c := range e.Choices {
		choices[i] = []any{i + 1, c.Path, fmt.Sprintf("%.2f", c.StepMS), c.Load}
	}
	if err := p.writeTable("CHOICE PATH STEP-MS LOAD", choices); err != nil {
		return err
	}
	fmt.Fprintln(p.w)
	domains := make([][]any, len(e.Domains))
	for i, d := range e.Domains {
		domains[i] = []any{d.FailureDomain, d.Instances, fmt.Sprintf("%.0f%%", percent*d.FreeShare)}
	}
	if err := p.writeTable("DOMAIN INSTANCES FREE", domains); err != nil {
		return err
	}
	fmt.Fprintln(p.w)
	excluded := make([][]any, len(e.Excluded))
	for i, x := range e.Excluded {
		excluded[i] = []any{x.Instance, x.FailureDomain, x.Reason}
	}
	return p.writeTable("EXCLUDED DOMAIN REASON", excluded)
}

const percent = 100

func instanceState(in gatewayapi.Instance) string {
	switch {
	case in.Draining:
		return "draining"
	case in.Lost:
		return "lost"
	}
	return "usable"
}

func (p *printer) writeChange(c config.Change) error {
	if p.json {
		return p.writeJSON(c)
	}
	_, err := fmt.Fprintf(p.w, "%s %s is at revision %d (change %s)\n", c.Kind, c.Name, c.Revision, c.ID)
	return err
}

func (p *printer) writeChanges(changes []config.Change) error {
	rows := make([][]any, len(changes))
	for i, c := range changes {
		after := string(c.After)
		if c.Deleted {
			after = "(deleted)"
		}
		rows[i] = []any{c.Revision, formatTime(c.Time), c.Author, c.Kind, c.Name, c.Base, c.ID, after}
	}
	return p.writeTable("REVISION TIME AUTHOR KIND NAME BASE CHANGE AFTER", rows)
}

func (p *printer) writeStatus(s adminapi.Status) error {
	ready := "ready"
	if !s.Ready {
		ready = "not ready: " + s.NotReadyReason
	}
	_, err := fmt.Fprintf(p.w, "%s %s in %s, process %s, revision %d, %s\n\n", s.Role, s.Instance, s.FailureDomain, s.Process, s.Revision, ready)
	if err != nil {
		return err
	}
	rows := make([][]any, len(s.Upstreams))
	for i, u := range s.Upstreams {
		rows[i] = []any{u.Instance, u.FailureDomain, u.Kind, u.Model + u.Service, formatLayers(u.Layers), u.State,
			u.Load.Queued, u.Load.Running, u.Load.Sequences, u.Revision}
	}
	return p.writeTable("INSTANCE DOMAIN KIND SERVES LAYERS STATE QUEUED RUNNING SEQUENCES REVISION", rows)
}

func (p *printer) writeTeams(teams []adminapi.TeamStatus) error {
	rows := make([][]any, len(teams))
	for i, t := range teams {
		rows[i] = []any{t.Team, t.Entry, t.Weight, t.InFlight, t.QueuedTokens, fmt.Sprintf("%.1f", t.TokensPerSecond), t.Admitted, t.Refused}
	}
	return p.writeTable("TEAM ENTRY WEIGHT IN-FLIGHT QUEUED TOKENS/S ADMITTED REFUSED", rows)
}

func (p *printer) writeExplanation(e adminapi.Explanation) error {
	_, err := fmt.Fprintf(p.w, "request %s of team %s, profile %s: %s\nchosen because: %s\n\n", e.RequestID, e.Team, e.Profile, e.Outcome, e.Reason)
	if err != nil {
		return err
	}
	var candidates, stages, attempts [][]any
	for _, c := range e.Candidates {
		candidates = append(candidates, []any{strings.Join(c.Groups, ">"), fmt.Sprintf("%.2f", c.CostMillis), c.Rejected})
	}
	for _, s := range e.Chosen {
		stages = append(stages, []any{s.Instance, formatLayers(s.Layers), s.Reason})
	}
	for _, a := range e.Attempts {
		attempts = append(attempts, []any{a.Number, fmt.Sprintf("%.1f", a.OffsetMillis), a.Replaced, a.Replacement, a.Reason})
	}
	for _, section := range []struct {
		header string
		rows   [][]any
	}{
		{"CANDIDATE COST-MS REJECTED", candidates},
		{"STAGE LAYERS REASON", stages},
		{"ATTEMPT OFFSET-MS REPLACED REPLACEMENT REASON", attempts},
	} {
		if err := p.writeTable(section.header, section.rows); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(p.w); err != nil {
			return err
		}
	}
	return nil
}

func formatLayers(r pipeline.LayerRange) string {
	if r.Len() == 0 {
		return ""
	}
	return r.String()
}

func formatTime(t time.Time) string { return t.UTC().Format(time.RFC3339) }
