// Package planner decides which engines should change their role.
package planner

import "github.com/endivemast/endivemast/internal/driver"

// Planning is a way to plan roles.
type Planning string

// Ways to plan. The two last are baselines to measure against.
const (
	Planned    Planning = "planned"
	Never      Planning = "never"
	EverySwing Planning = "every_swing" // follow each swing of the mix at once
)

// Proposal is a role change that would pay.
type Proposal struct {
	EndpointID string
	Role       driver.Role
	Reason     string
}
