// Package ctl implements the command-line tool nutmegctl.
package ctl

import (
	"github.com/nutmegroute/nutmegroute/internal/config"
)

type getArgs struct {
	Name string `arg:"positional,required" help:"name of the object"`
}

type listArgs struct{}

type historyArgs struct {
	Name  string `arg:"positional,required" help:"name of the object"`
	Limit int    `arg:"--limit" default:"100" help:"maximum number of changes to print, newest first"`
}

// changeArgs are the options of commands that propose a change.
type changeArgs struct {
	Base     *uint64 `arg:"--base" help:"version that the change is based on [default: the version in the file, otherwise the current version]"`
	ChangeID string  `arg:"--change-id" help:"id of an earlier change, to repeat it safely; requires a base version"`
}

type applyArgs struct {
	File string `arg:"positional" default:"-" help:"JSON file with the object, or with the output of get; - is standard input"`
	changeArgs
}

type deleteArgs struct {
	Name string `arg:"positional,required" help:"name of the object"`
	changeArgs
}

// objectArgs are the subcommands for one kind of object.
type objectArgs struct {
	Get     *getArgs     `arg:"subcommand:get" help:"print an object"`
	List    *listArgs    `arg:"subcommand:list" help:"print all objects"`
	Apply   *applyArgs   `arg:"subcommand:apply" help:"create or update an object"`
	Delete  *deleteArgs  `arg:"subcommand:delete" help:"delete an object"`
	History *historyArgs `arg:"subcommand:history" help:"print the changes of an object"`
}

type drainArgs struct {
	Instance string `arg:"positional,required" help:"instance of the upstream"`
}

type statusArgs struct {
	Gateway string `arg:"--gateway,env:NUTMEGCTL_GATEWAY" placeholder:"URL" help:"metrics address of a gateway; print its status instead of that of an entry"`
}

type releaseArgs struct {
	Part    string `arg:"positional,required" help:"part of prompts, as status --gateway prints it"`
	Gateway string `arg:"--gateway,required,env:NUTMEGCTL_GATEWAY" placeholder:"URL" help:"metrics address of any gateway"`
}

type explainArgs struct {
	RequestID string `arg:"positional" help:"request id from Nutmegroute-Request-Id; not with --gateway"`
	Gateway   string `arg:"--gateway,env:NUTMEGCTL_GATEWAY" placeholder:"URL" help:"metrics address of a gateway; explain where a request would go now"`
	Service   string `arg:"--service" help:"service of the request; or set --host and --path"`
	Host      string `arg:"--host" help:"host of the request"`
	Path      string `arg:"--path" default:"/" help:"path of the request"`
	Team      string `arg:"--team" help:"team that sends the request"`
	Tokens    int    `arg:"--tokens" help:"KV cache that the request needs, in tokens [default: that of a typical request]"`
	Kind      string `arg:"--kind" placeholder:"idempotent|non-idempotent|streaming" help:"kind of the route, with --service"`
}

type auditArgs struct {
	After uint64 `arg:"--after" help:"print the changes after this revision [default: 0]"`
	Limit int    `arg:"--limit" default:"100" help:"maximum number of changes to print"`
}

type arguments struct {
	Profile   *objectArgs  `arg:"subcommand:profile" help:"profiles"`
	Team      *objectArgs  `arg:"subcommand:team" help:"teams"`
	Service   *objectArgs  `arg:"subcommand:service" help:"plain services"`
	Placement *objectArgs  `arg:"subcommand:placement" help:"placements"`
	Status    *statusArgs  `arg:"subcommand:status" help:"print the status of an entry and its upstreams, or of a gateway, its chains and its layer placement"`
	Release   *releaseArgs `arg:"subcommand:release" help:"serve requests again that the gateways refuse because of a part of their prompts"`
	Teams     *struct{}    `arg:"subcommand:teams" help:"print the load of each team"`
	Drain     *drainArgs   `arg:"subcommand:drain" help:"make an upstream finish its work in progress and leave"`
	Explain   *explainArgs `arg:"subcommand:explain" help:"explain how a request was routed"`
	Audit     *auditArgs   `arg:"subcommand:audit" help:"print the accepted changes"`

	Server string `arg:"--server,env:NUTMEGCTL_SERVER" default:"http://127.0.0.1:8081" placeholder:"URL" help:"admin address of an entry"`
	Key    string `arg:"--key,env:NUTMEGCTL_KEY" help:"operator key; set the variable instead to keep the key out of the process list"`
	Output string `arg:"--output,-o" default:"table" placeholder:"table|json" help:"output format"`
}

// Description implements arg.Described: the text at the start of the help.
func (arguments) Description() string {
	return "nutmegctl reads and changes the configuration of nutmegroute through any entry."
}

// Epilogue implements arg.Epilogued: the exit codes at the end of the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 error, 2 usage, 3 conflict with another change, 4 not found,\n" +
		"5 unknown outcome (repeat with the printed --change-id and --base), 6 unavailable."
}

// objectCommand returns the selected object command and its kind, or nil if
// another command is selected.
func (a *arguments) objectCommand() (config.Kind, *objectArgs) {
	switch {
	case a.Profile != nil:
		return config.KindProfile, a.Profile
	case a.Team != nil:
		return config.KindTeam, a.Team
	case a.Service != nil:
		return config.KindService, a.Service
	case a.Placement != nil:
		return config.KindPlacement, a.Placement
	}
	return "", nil
}
