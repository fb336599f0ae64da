package commander

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Flags of the application commands.
const (
	flagModel        = "model"
	flagModelVersion = "model-version"
	flagAdapter      = "adapter"
	flagRoleChanges  = "role-changes-per-hour"
)

// applicationCommand returns the command that lists, shows, sets and deletes applications.
func applicationCommand() *cli.Command {
	return &cli.Command{
		Name:  "application",
		Usage: "applications that endpoints serve",
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "list the applications in force on the host",
				Description: `Example:
   endivemast application list --json`,
				Action: withClient(listApplications),
			},
			{
				Name:      "show",
				Usage:     "show an application in force on the host",
				ArgsUsage: "APPLICATION",
				Description: `Example:
   endivemast application show drafting`,
				Action: withClient(showApplication),
			},
			{
				Name:      "set",
				Usage:     "create an application, or change the given fields of an existing one",
				ArgsUsage: "APPLICATION",
				Flags:     append(applicationFlags(), changeFlags()...),
				Description: `A field that is not given keeps its value. Without --if-revision the change is
refused (exit code 3) if another operator changes the application at the same time.

Examples:
   endivemast application set drafting --model letters-7b --model-version 3 --role-changes-per-hour 4
   endivemast application set drafting --model-version 4
   endivemast application set dispatch`,
				Action: withClient(setApplication),
			},
			{
				Name:      "delete",
				Usage:     "delete an application",
				ArgsUsage: "APPLICATION",
				Flags:     changeFlags(),
				Description: `Example:
   endivemast application delete dispatch`,
				Action: withClient(deleteApplication),
			},
		},
	}
}

// applicationFlags returns the flags for the fields of an application.
func applicationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagModel, Usage: "`MODEL` that the engines load; empty for a plain service"},
		&cli.StringFlag{Name: flagModelVersion, Usage: "`VERSION` of the model"},
		&cli.StringFlag{Name: flagAdapter, Usage: "`ADAPTER` of the model; empty for none"},
		&cli.IntFlag{Name: flagRoleChanges, Usage: "tolerated number of role changes of the engines in an hour", HideDefault: true},
	}
}

// listApplications runs "endivemast application list".
func listApplications(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	if _, err := arguments(cmd, 0); err != nil {
		return err
	}
	list, err := c.ListApplications(ctx, &operator.ListApplicationsPayload{Token: c.token})
	if err != nil {
		return c.readError(cmd, err)
	}
	return c.printApplications(cmd, list.Applications...)
}

// showApplication runs "endivemast application show".
func showApplication(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	entry, err := c.ShowApplication(ctx, &operator.ShowApplicationPayload{Token: c.token, Name: args[0]})
	if err != nil {
		return c.readError(cmd, err)
	}
	return c.printApplications(cmd, entry)
}

func (c *operatorClient) printApplications(cmd *cli.Command, entries ...*operator.ApplicationEntry) error {
	return c.printAnswer(cmd, func(w io.Writer) error {
		t := newTable(w, "APPLICATION", "MODEL", "VERSION", "ADAPTER", "ROLE CHANGES/H", "REVISION")
		for _, e := range entries {
			a := e.Application
			t.addRow(a.Name, a.Model, a.Version, a.Adapter, a.RoleChangesPerHour, e.Revision)
		}
		return t.flush()
	})
}

// setApplication runs "endivemast application set".
func setApplication(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	entry, err := c.currentApplication(ctx, cmd, args[0])
	if err != nil {
		return err
	}
	payload := &operator.SetApplicationPayload{Token: c.token, Name: args[0]}
	revision, err := baseRevision(cmd, entry.Revision, applicationFlags())
	if err != nil {
		return err
	}
	if a := entry.Application; revision != absentRevision && a != nil {
		payload.Model, payload.Version, payload.Adapter = a.Model, a.Version, a.Adapter
		payload.RoleChangesPerHour = a.RoleChangesPerHour
	}
	setFromFlag(cmd, flagModel, &payload.Model, cmd.String)
	setFromFlag(cmd, flagModelVersion, &payload.Version, cmd.String)
	setFromFlag(cmd, flagAdapter, &payload.Adapter, cmd.String)
	setFromFlag(cmd, flagRoleChanges, &payload.RoleChangesPerHour, cmd.Int)
	id := changeID(cmd)
	payload.IfRevision, payload.ChangeID = &revision, &id
	result, err := c.SetApplication(ctx, payload)
	if err != nil {
		return c.changeError(cmd, id, err)
	}
	return c.printChange(cmd, result)
}

// currentApplication fetches the application that is in force. Its revision is 0 when it does
// not exist.
func (c *operatorClient) currentApplication(ctx context.Context, cmd *cli.Command, name string) (*operator.ApplicationEntry, error) {
	entry, err := c.ShowApplication(ctx, &operator.ShowApplicationPayload{Token: c.token, Name: name})
	if isNotFound(err) {
		return &operator.ApplicationEntry{Revision: absentRevision}, nil
	}
	return entry, c.readError(cmd, err)
}

// deleteApplication runs "endivemast application delete".
func deleteApplication(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	revision := cmd.Int64(flagIfRevision)
	if !cmd.IsSet(flagIfRevision) {
		entry, err := c.currentApplication(ctx, cmd, args[0])
		if err != nil {
			return err
		}
		revision = entry.Revision
	}
	id := changeID(cmd)
	result, err := c.DeleteApplication(ctx, &operator.DeleteApplicationPayload{
		Token: c.token, Name: args[0], IfRevision: &revision, ChangeID: &id,
	})
	if err != nil {
		return c.changeError(cmd, id, err)
	}
	return c.printChange(cmd, result)
}
