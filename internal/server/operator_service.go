package server

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"goa.design/goa/v3/security"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// operatorService implements the operators' API.
type operatorService struct {
	deps Deps
	log  hclog.Logger
}

var (
	_ operator.Service = (*operatorService)(nil)
	_ operator.Auther  = (*operatorService)(nil) //nolint:misspell // the name is goa's
)

// JWTAuth accepts requests that requireRole has accepted. goa uses this name for any bearer
// token.
func (*operatorService) JWTAuth(ctx context.Context, _ string, _ *security.JWTScheme) (context.Context, error) {
	return ctx, requireIdentity(ctx)
}

// ListClasses lists the classes in force on this host.
func (s *operatorService) ListClasses(_ context.Context, p *operator.ListClassesPayload) (*operator.ClassList, error) {
	entries := s.deps.Operator.Classes(valueOf(p.Tenant))
	list := &operator.ClassList{Classes: make([]*operator.ClassEntry, 0, len(entries))}
	for _, entry := range entries {
		list.Classes = append(list.Classes, newClassEntry(entry))
	}
	return list, nil
}

// ShowClass shows a class in force on this host.
func (s *operatorService) ShowClass(_ context.Context, p *operator.ShowClassPayload) (*operator.ClassEntry, error) {
	entry, ok := s.findClass(p.Tenant, p.Name)
	if !ok {
		return nil, newOperatorFailure(statusNotFound, reasonUnknownClass, "no class "+p.Name+" of tenant "+p.Tenant+" on this host")
	}
	return newClassEntry(entry), nil
}

// SetClass creates or changes a class.
func (s *operatorService) SetClass(ctx context.Context, p *operator.SetClassPayload) (*operator.ChangeResult, error) {
	return s.apply(ctx, p.ChangeID, p.IfRevision, configurer.ClassSubject{Class: configurer.Class{
		Tenant:                p.Tenant,
		Name:                  p.Name,
		Kind:                  configurer.ClassKind(p.Kind),
		Application:           p.Application,
		Repeatable:            p.Repeatable || p.Kind == string(configurer.KindGenerate),
		FirstTokenTargetMS:    p.FirstTokenTargetMs,
		BetweenTokensTargetMS: p.BetweenTokensTargetMs,
		CompletionTargetMS:    p.CompletionTargetMs,
	}})
}

// DeleteClass deletes a class.
func (s *operatorService) DeleteClass(ctx context.Context, p *operator.DeleteClassPayload) (*operator.ChangeResult, error) {
	return s.apply(ctx, p.ChangeID, p.IfRevision, configurer.ClassSubject{
		Class:  configurer.Class{Tenant: p.Tenant, Name: p.Name},
		Delete: true,
	})
}

// ListApplications lists the applications in force on this host.
func (s *operatorService) ListApplications(context.Context, *operator.ListApplicationsPayload) (*operator.ApplicationList, error) {
	entries := s.deps.Operator.Applications()
	list := &operator.ApplicationList{Applications: make([]*operator.ApplicationEntry, 0, len(entries))}
	for _, entry := range entries {
		list.Applications = append(list.Applications, newApplicationEntry(entry))
	}
	return list, nil
}

// ShowApplication shows an application in force on this host.
func (s *operatorService) ShowApplication(_ context.Context, p *operator.ShowApplicationPayload) (*operator.ApplicationEntry, error) {
	entry, ok := s.findApplication(p.Name)
	if !ok {
		return nil, newOperatorFailure(statusNotFound, reasonUnknownApplication, "no application "+p.Name+" on this host")
	}
	return newApplicationEntry(entry), nil
}

// SetApplication creates or changes an application.
func (s *operatorService) SetApplication(ctx context.Context, p *operator.SetApplicationPayload) (*operator.ChangeResult, error) {
	return s.apply(ctx, p.ChangeID, p.IfRevision, configurer.ApplicationSubject{Application: configurer.Application{
		Name:               p.Name,
		Model:              p.Model,
		Version:            p.Version,
		Adapter:            p.Adapter,
		RoleChangesPerHour: p.RoleChangesPerHour,
	}})
}

// DeleteApplication deletes an application.
func (s *operatorService) DeleteApplication(ctx context.Context, p *operator.DeleteApplicationPayload) (*operator.ChangeResult, error) {
	return s.apply(ctx, p.ChangeID, p.IfRevision, configurer.ApplicationSubject{
		Application: configurer.Application{Name: p.Name},
		Delete:      true,
	})
}

// apply applies a change to the configuration.
func (s *operatorService) apply(ctx context.Context, changeID *string, ifRevision *int64, subject configurer.Subject) (*operator.ChangeResult, error) {
	change := configurer.Change{ChangeID: valueOf(changeID), IfRevision: configurer.AnyRevision, Subject: subject}
	if ifRevision != nil {
		change.IfRevision = *ifRevision
	}
	if change.ChangeID == "" {
		change.ChangeID = uuid.NewString()
	}
	revision, err := s.deps.Operator.Apply(ctx, change)
	if err != nil {
		return nil, s.changeFailure(change, err)
	}
	return &operator.ChangeResult{ChangeID: change.ChangeID, Revision: revision}, nil
}

// ShowChange returns the revision at which a change was accepted.
func (s *operatorService) ShowChange(ctx context.Context, p *operator.ShowChangePayload) (*operator.ChangeResult, error) {
	revision, err := s.deps.Operator.Outcome(ctx, p.ChangeID)
	if err != nil {
		return nil, changeQueryFailure(p.ChangeID, err)
	}
	return &operator.ChangeResult{ChangeID: p.ChangeID, Revision: revision}, nil
}

// Status returns the status of this host.
func (s *operatorService) Status(context.Context, *operator.StatusPayload) (*operator.StatusResult, error) {
	return newStatusResult(s.deps.Status.Status()), nil
}

// Drain starts the graceful shutdown of this host.
func (s *operatorService) Drain(ctx context.Context, _ *operator.DrainPayload) (*operator.DrainResult, error) {
	if err := s.deps.Drainer.Drain(ctx); err != nil {
		s.log.Error("failed to start drain", "error", err)
		return nil, fmt.Errorf("drain: %w", err)
	}
	return &operator.DrainResult{Draining: true}, nil
}

// findClass returns the class that is in force on this host.
func (s *operatorService) findClass(tenant, name string) (configurer.ClassEntry, bool) {
	for _, entry := range s.deps.Operator.Classes(tenant) {
		if entry.Class.Name == name {
			return entry, true
		}
	}
	return configurer.ClassEntry{}, false
}

// findApplication returns the application that is in force on this host.
func (s *operatorService) findApplication(name string) (configurer.ApplicationEntry, bool) {
	for _, entry := range s.deps.Operator.Applications() {
		if entry.Application.Name == name {
			return entry, true
		}
	}
	return configurer.ApplicationEntry{}, false
}

// newClass converts a class to the type of the API.
func newClass(c configurer.Class) *operator.Class {
	return &operator.Class{
		Tenant:                c.Tenant,
		Name:                  c.Name,
		Kind:                  string(c.Kind),
		Application:           c.Application,
		Repeatable:            c.Repeatable,
		FirstTokenTargetMs:    c.FirstTokenTargetMS,
		BetweenTokensTargetMs: c.BetweenTokensTargetMS,
		CompletionTargetMs:    c.CompletionTargetMS,
	}
}

// newClassEntry converts a class entry to the type of the API.
func newClassEntry(e configurer.ClassEntry) *operator.ClassEntry {
	return &operator.ClassEntry{Class: newClass(e.Class), Revision: e.Revision}
}

// newApplication converts an application to the type of the API.
func newApplication(a configurer.Application) *operator.Application {
	application := operator.Application(a)
	return &application
}

// newApplicationEntry converts an application entry to the type of the API.
func newApplicationEntry(e configurer.ApplicationEntry) *operator.ApplicationEntry {
	return &operator.ApplicationEntry{Application: newApplication(e.Application), Revision: e.Revision}
}
