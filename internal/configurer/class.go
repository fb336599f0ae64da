package configurer

import "time"

// ClassKind is the kind of request in a class.
type ClassKind string

// Kinds of class.
const (
	KindGenerate ClassKind = "generate" // a generation by a model engine
	KindCall     ClassKind = "call"     // a call of a plain service
)

// Class is a tenant's class of requests and their latency targets. Operators
// set targets only; priorities and endpoints are derived from them.
type Class struct {
	Tenant      string    `json:"tenant"`
	Name        string    `json:"name"`
	Kind        ClassKind `json:"kind"`
	Application string    `json:"application"` // its endpoints serve the class
	// Repeatable states that a request may safely run twice. Generations
	// always are. A call that isn't needs an idempotency key from the caller
	// and runs at most once.
	Repeatable bool `json:"repeatable"`
	// FirstTokenTargetMS is the maximum time to the first token; 0: no target.
	FirstTokenTargetMS int64 `json:"first_token_target_ms"`
	// BetweenTokensTargetMS is the maximum mean interval between tokens; 0: no
	// target.
	BetweenTokensTargetMS int64 `json:"between_tokens_target_ms"`
	// CompletionTargetMS is the maximum time to the complete answer. Required.
	CompletionTargetMS int64 `json:"completion_target_ms"`
}

// FirstTokenTarget returns the target for the first token; 0 means none.
func (c Class) FirstTokenTarget() time.Duration {
	return time.Duration(c.FirstTokenTargetMS) * time.Millisecond
}

// BetweenTokensTarget returns the target for the mean interval between tokens;
// 0 means none.
func (c Class) BetweenTokensTarget() time.Duration {
	return time.Duration(c.BetweenTokensTargetMS) * time.Millisecond
}

// CompletionTarget returns the target for the complete answer.
func (c Class) CompletionTarget() time.Duration {
	return time.Duration(c.CompletionTargetMS) * time.Millisecond
}

// Application is a model application or plain service that endpoints serve.
type Application struct {
	Name string `json:"name"`
	// Model, Version and Adapter are what the application's engines must have
	// loaded. They are empty for a plain service.
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	// RoleChangesPerHour is how many role changes of the application's engines
	// the operator allows in an hour.
	RoleChangesPerHour int `json:"role_changes_per_hour"`
}
