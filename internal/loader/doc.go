// Package loader sends a reproducible, open-loop load of a scenario to entry
// hosts, checks every answer, and accounts for every request.
//
// Arrivals are Poisson processes whose rates follow the scenario's phases;
// they never wait for answers. The arrival times and prompts follow from the
// seed alone; idempotency keys differ from run to run. Each answer's text is compared with the one that its prompt
// must give, and after the run each non-idempotent call is compared with the
// run counts of the services.
//
// # Usage
//
//	scenario, err := loader.ReadScenario("scenarios/vitosha-step.yaml")
//	run, err := loader.Start(ctx, loader.Options{
//		Scenario: scenario,
//		Entries:  []string{"127.0.0.1:8080", "127.0.0.1:8081"},
//	})
//	report, err := run.Wait()
//	err = report.Verdict() // non-nil when a request was lost, doubled or crossed
//
// # Scenario files
//
// A scenario is YAML in snake case; durations are written as in "250ms".
//
//	name: vitosha_step
//	base: bases/vitosha.yaml # whose settings are taken where this file has none
//	rate_scale: 1            # multiplies every rate
//	answer_timeout: 30s      # a caller without a whole answer by then counts it as lost
//	retry_refused: false     # come back after Retry-After
//	reconnects: 2            # how often a caller whose connection broke comes back
//	applications:            # written through the operators' API by --configure
//	  - {name: letters, model: letters, version: v1, role_changes_per_hour: 12}
//	classes:
//	  - tenant: vitosha
//	    name: letter_drafts
//	    kind: generate           # or call
//	    application: letters
//	    stream: true             # of a generate class
//	    rate: 4                  # requests a second at level 1
//	    weight: 2                # the users' measure; never sent to the system
//	    prompt_tokens: {median: 900, sigma: 0.3, min: 64, max: 2000}
//	    output_tokens: {median: 120, sigma: 0.4, min: 16, max: 300}
//	    templates: 6             # shared prompt prefixes
//	    template_tokens: 600
//	    first_token_target: 1s
//	    between_tokens_target: 60ms
//	    completion_target: 8s
//	    abandon_share: 0.01      # callers that go away
//	    abandon_after: 300ms
//	    resend_share: 0.02       # callers that ask another host again, with the same key
//	    resend_after: 150ms
//	  - tenant: vitosha
//	    name: proof_images
//	    kind: call
//	    application: proofing
//	    operation: print_proof
//	    repeatable: false        # sent with an idempotency key
//	    key_source: own          # or ticket: asked of the system first
//	phases:
//	  - {name: calm, duration: 10s}
//	  - name: swing
//	    duration: 20s
//	    shape: oscillate         # steady (default), ramp, oscillate or alternate
//	    period: 5s               # of oscillate and alternate
//	    levels: {letter_drafts: 1}      # a class left out has level 1
//	    to_levels: {letter_drafts: 3}   # the other end; a class left out keeps its level
package loader
