package configurer

import "time"

// ClassKind tells what a class's requests are.
type ClassKind string

// Kinds of class.
const (
	KindGenerate ClassKind = "generate" // a generation by a model engine
	KindCall     ClassKind = "call"     // a call of a plain service
)

// Class is a tenant's class of work with its targets. Operators state targets
// only; importance, priorities and endpoints follow from them.
type Class struct {
	Tenant      string    `json:"tenant"`
	Name        string    `json:"name"`
	Kind        ClassKind `json:"kind"`
	Application string    `json:"application"` // whose endpoints serve the class
	// Repeatable is true where running a request twice does no harm. A
	// generation is always repeatable. A call that is not needs the caller's
	// idempotency key and runs at most once.
	Repeatable bool `json:"repeatable"`
	// FirstTokenTarget is the longest wait for the first token; 0: no target.
	FirstTokenTargetMS int64 `json:"first_token_target_ms"`
	// BetweenTokensTargetMS is the longest mean gap between tokens; 0: no target.
	BetweenTokensTargetMS int64 `json:"between_tokens_target_ms"`
	// CompletionTargetMS is the longest time to the whole answer. It is required.
	CompletionTargetMS int64 `json:"completion_target_ms"`
}

// FirstTokenTarget is the class's first-token target; 0 means none.
func (c Class) FirstTokenTarget() time.Duration {
	return time.Duration(c.FirstTokenTargetMS) * time.Millisecond
}

// BetweenTokensTarget is the class's target between tokens; 0 means none.
func (c Class) BetweenTokensTarget() time.Duration {
	return time.Duration(c.BetweenTokensTargetMS) * time.Millisecond
}

// CompletionTarget is the class's completion target.
func (c Class) CompletionTarget() time.Duration {
	return time.Duration(c.CompletionTargetMS) * time.Millisecond
}

// Application is a model application or plain service that endpoints serve.
type Application struct {
	Name string `json:"name"`
	// Model, Version and Adapter are what engines of the application are to
	// have loaded; empty for a plain service.
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	// RoleChangesPerHour is the operator's target for how many role changes of
	// the application's engines are tolerated in an hour.
	RoleChangesPerHour int `json:"role_changes_per_hour"`
}
