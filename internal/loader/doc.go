// Package loader sends the open-loop load of a scenario to entry hosts, checks
// every answer, and reports the outcome of every request.
//
// Arrivals are Poisson processes whose rates follow the scenario's phases;
// they never wait for answers. Arrival times and prompts depend only on the
// seed; idempotency keys differ from run to run. Each answer's text is compared
// with the expected text for its prompt, and after the run each non-idempotent
// call is compared with the run counts of the services.
//
// # Usage
//
//	scenario, err := loader.ReadScenario("scenarios/vitosha-step.yaml")
//	run, err := loader.Start(ctx, loader.Options{
//		Scenario: scenario,
//		Entries:  []string{"127.0.0.1:8080", "127.0.0.1:8081"},
//	})
//	report, err := run.Wait()
//	err = report.CheckOutcomes() // non-nil when a request was lost, duplicated or answered wrongly
//
// # Scenario files
//
// A scenario is YAML in snake case; durations are written as in "250ms".
//
//	name: vitosha_step
//	base: bases/vitosha.yaml # supplies settings that this file leaves out
//	rate_scale: 1            # multiplies every rate
//	answer_timeout: 30s      # a request without a complete answer by then is lost
//	retry_refused: false     # retry after Retry-After
//	reconnects: 2            # retries after a broken connection
//	applications:            # written by --configure through the operators' API
//	  - {name: letters, model: letters, version: v1, role_changes_per_hour: 12}
//	classes:
//	  - tenant: vitosha
//	    name: letter_drafts
//	    kind: generate           # or call
//	    application: letters
//	    stream: true             # of a generate class
//	    rate: 4                  # requests a second at level 1
//	    weight: 2                # for the weighted goodput; never sent to the system
//	    prompt_tokens: {median: 900, sigma: 0.3, min: 64, max: 2000}
//	    output_tokens: {median: 120, sigma: 0.4, min: 16, max: 300}
//	    templates: 6             # shared prompt prefixes
//	    template_tokens: 600
//	    first_token_target: 1s
//	    between_tokens_target: 60ms
//	    completion_target: 8s
//	    abandon_share: 0.01      # share of requests that their callers abandon
//	    abandon_after: 300ms
//	    resend_share: 0.02       # share of requests sent again to another host, with the same key
//	    resend_after: 150ms
//	  - tenant: vitosha
//	    name: proof_images
//	    kind: call
//	    application: proofing
//	    operation: print_proof
//	    repeatable: false        # sent with an idempotency key
//	    key_source: own          # or ticket: requested from the system first
//	phases:
//	  - {name: calm, duration: 10s}
//	  - name: swing
//	    duration: 20s
//	    shape: oscillate         # steady (default), ramp, oscillate or alternate
//	    period: 5s               # of oscillate and alternate
//	    levels: {letter_drafts: 1}      # a class left out has level 1
//	    to_levels: {letter_drafts: 3}   # level at the other end; a class left out keeps its level
package loader
