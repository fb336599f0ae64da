package commander

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Flags of the class commands.
const (
	flagTenant        = "tenant"
	flagKind          = "kind"
	flagApplication   = "application"
	flagRepeatable    = "repeatable"
	flagFirstToken    = "first-token-target"
	flagBetweenTokens = "between-tokens-target"
	flagCompletion    = "completion-target"
)

const (
	anyRevision    = -1 // the change applies to any revision of the entry
	absentRevision = 0  // the entry must not exist

	failureNotFound = "not_found"
)

// errStaleBase reports that a change of some fields can't be based on the entry that the
// server shows.
var errStaleBase = errors.New("this host has the entry at another revision than --if-revision: ask another host, or give all fields")

// classCommand returns the command that lists, shows, sets and deletes classes.
func classCommand() *cli.Command {
	return &cli.Command{
		Name:  "class",
		Usage: "classes of work and their targets",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the classes in force on the host",
				Flags: []cli.Flag{&cli.StringFlag{Name: flagTenant, Usage: "only this `TENANT`'s classes"}},
				Description: `Example:
   endivemast class list --tenant vitosha`,
				Action: withClient(listClasses),
			},
			{
				Name:      "show",
				Usage:     "show a class in force on the host",
				ArgsUsage: "TENANT CLASS",
				Description: `Example:
   endivemast class show vitosha letters`,
				Action: withClient(showClass),
			},
			{
				Name:      "set",
				Usage:     "create a class, or change the given fields of an existing one",
				ArgsUsage: "TENANT CLASS",
				Flags:     append(classFlags(), changeFlags()...),
				Description: `A field that is not given keeps its value. Without --if-revision the change is
refused (exit code 3) if another operator changes the class at the same time.

Examples:
   endivemast class set vitosha letters --kind generate --application drafting \
      --first-token-target 800ms --between-tokens-target 54ms --completion-target 9s
   endivemast class set vitosha proofs --kind call --application dispatch --completion-target 2s
   endivemast class set vitosha letters --completion-target 12s --if-revision 41`,
				Action: withClient(setClass),
			},
			{
				Name:      "delete",
				Usage:     "delete a class",
				ArgsUsage: "TENANT CLASS",
				Flags:     changeFlags(),
				Description: `Example:
   endivemast class delete vitosha letters --if-revision 41`,
				Action: withClient(deleteClass),
			},
		},
	}
}

// classFlags returns the flags for the fields of a class.
func classFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagKind, Usage: "`KIND` of the requests: generate or call"},
		&cli.StringFlag{Name: flagApplication, Usage: "`NAME` of the application whose endpoints serve the class"},
		&cli.BoolFlag{Name: flagRepeatable, Usage: "calls can safely run twice; --repeatable=false unsets it"},
		&cli.DurationFlag{Name: flagFirstToken, Usage: "maximum time to the first token; 0: no target"},
		&cli.DurationFlag{Name: flagBetweenTokens, Usage: "maximum mean time between tokens; 0: no target"},
		&cli.DurationFlag{Name: flagCompletion, Usage: "maximum time to the complete answer"},
	}
}

// listClasses runs "endivemast class list".
func listClasses(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	payload := &operator.ListClassesPayload{Token: c.token}
	if tenant := cmd.String(flagTenant); tenant != "" {
		payload.Tenant = &tenant
	}
	list, err := c.ListClasses(ctx, payload)
	if err != nil {
		return c.readError(cmd, err)
	}
	return c.printClasses(cmd, list.Classes...)
}

// showClass runs "endivemast class show".
func showClass(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	args, err := arguments(cmd, 2)
	if err != nil {
		return err
	}
	entry, err := c.ShowClass(ctx, &operator.ShowClassPayload{Token: c.token, Tenant: args[0], Name: args[1]})
	if err != nil {
		return c.readError(cmd, err)
	}
	return c.printClasses(cmd, entry)
}

func (c *operatorClient) printClasses(cmd *cli.Command, entries ...*operator.ClassEntry) error {
	return c.printAnswer(cmd, func(w io.Writer) error {
		t := newTable(w, "TENANT", "CLASS", "KIND", "APPLICATION", "REPEATABLE", "FIRST TOKEN", "BETWEEN TOKENS", "COMPLETION", "REVISION")
		for _, e := range entries {
			t.addRow(e.Class.Tenant, e.Class.Name, e.Class.Kind, e.Class.Application, e.Class.Repeatable,
				formatTarget(e.Class.FirstTokenTargetMs), formatTarget(e.Class.BetweenTokensTargetMs), formatTarget(e.Class.CompletionTargetMs), e.Revision)
		}
		return t.flush()
	})
}

// setClass runs "endivemast class set".
func setClass(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	args, err := arguments(cmd, 2)
	if err != nil {
		return err
	}
	payload := &operator.SetClassPayload{Token: c.token, Tenant: args[0], Name: args[1]}
	entry, err := c.currentClass(ctx, cmd, args[0], args[1])
	if err != nil {
		return err
	}
	revision, err := baseRevision(cmd, entry.Revision, classFlags())
	if err != nil {
		return err
	}
	if revision != absentRevision && entry.Class != nil {
		payload.Kind, payload.Application, payload.Repeatable = entry.Class.Kind, entry.Class.Application, entry.Class.Repeatable
		payload.FirstTokenTargetMs = entry.Class.FirstTokenTargetMs
		payload.BetweenTokensTargetMs = entry.Class.BetweenTokensTargetMs
		payload.CompletionTargetMs = entry.Class.CompletionTargetMs
	}
	if err := applyClassFlags(cmd, payload); err != nil {
		return err
	}
	id := changeID(cmd)
	payload.IfRevision, payload.ChangeID = &revision, &id
	result, err := c.SetClass(ctx, payload)
	if err != nil {
		return c.changeError(cmd, id, err)
	}
	return c.printChange(cmd, result)
}

// currentClass fetches the class that is in force. Its revision is 0 when it does not exist.
func (c *operatorClient) currentClass(ctx context.Context, cmd *cli.Command, tenant, name string) (*operator.ClassEntry, error) {
	entry, err := c.ShowClass(ctx, &operator.ShowClassPayload{Token: c.token, Tenant: tenant, Name: name})
	if isNotFound(err) {
		return &operator.ClassEntry{Revision: absentRevision}, nil
	}
	return entry, c.readError(cmd, err)
}

// isNotFound reports whether err means that the entry does not exist.
func isNotFound(err error) bool {
	var failure *operator.OperatorFailure
	return errors.As(err, &failure) && failure.Name == failureNotFound
}

// baseRevision returns the revision that a change is based on. Fields that are not given are
// taken from the entry that the host shows. If --if-revision is another revision, the host
// lags behind or is ahead, and taking its fields would revert another operator's change.
func baseRevision(cmd *cli.Command, current int64, fields []cli.Flag) (int64, error) {
	if !cmd.IsSet(flagIfRevision) {
		return current, nil
	}
	requested := cmd.Int64(flagIfRevision)
	if requested == current || requested == absentRevision || requested == anyRevision || allSet(cmd, fields) {
		return requested, nil
	}
	return 0, &ExitError{Code: ExitConflict, Err: errStaleBase}
}

// allSet reports whether all the flags were given.
func allSet(cmd *cli.Command, flags []cli.Flag) bool {
	for _, flag := range flags {
		if !cmd.IsSet(flag.Names()[0]) {
			return false
		}
	}
	return true
}

// applyClassFlags sets the fields whose flags were given.
func applyClassFlags(cmd *cli.Command, p *operator.SetClassPayload) error {
	setFromFlag(cmd, flagKind, &p.Kind, cmd.String)
	setFromFlag(cmd, flagApplication, &p.Application, cmd.String)
	setFromFlag(cmd, flagRepeatable, &p.Repeatable, cmd.Bool)
	for name, field := range map[string]*int64{
		flagFirstToken:    &p.FirstTokenTargetMs,
		flagBetweenTokens: &p.BetweenTokensTargetMs,
		flagCompletion:    &p.CompletionTargetMs,
	} {
		d := cmd.Duration(name)
		if d%time.Millisecond != 0 {
			return usageError("--%s must be in whole milliseconds", name)
		}
		setFromFlag(cmd, name, field, func(string) int64 { return d.Milliseconds() })
	}
	if p.Kind == "" || p.Application == "" || p.CompletionTargetMs == 0 {
		return usageError("a new class needs --%s, --%s and --%s", flagKind, flagApplication, flagCompletion)
	}
	return nil
}

// setFromFlag sets a field from its flag if the flag was given.
func setFromFlag[T any](cmd *cli.Command, name string, field *T, value func(string) T) {
	if cmd.IsSet(name) {
		*field = value(name)
	}
}

// deleteClass runs "endivemast class delete".
func deleteClass(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	args, err := arguments(cmd, 2)
	if err != nil {
		return err
	}
	revision := cmd.Int64(flagIfRevision)
	if !cmd.IsSet(flagIfRevision) {
		entry, err := c.currentClass(ctx, cmd, args[0], args[1])
		if err != nil {
			return err
		}
		revision = entry.Revision
	}
	id := changeID(cmd)
	result, err := c.DeleteClass(ctx, &operator.DeleteClassPayload{
		Token: c.token, Tenant: args[0], Name: args[1], IfRevision: &revision, ChangeID: &id,
	})
	if err != nil {
		return c.changeError(cmd, id, err)
	}
	return c.printChange(cmd, result)
}
