// Package comparer measures the policy against baselines on real processes.
//
// For each run it starts a whole deployment, sends a scenario's load to it and
// ends it again. The variants of one scenario and seed run one after another,
// so that what else the machine does counts for all alike. A run whose loader
// was late itself is dropped and repeated.
//
// # Usage
//
//	comparison, err := comparer.Compare(ctx, comparer.Options{
//		Deployment: placer.Vitosha(),
//		Scenarios:  []string{"scenarios/vitosha-step.yaml"},
//		Variants:   comparer.Variants(),
//		Faults:     []comparer.Fault{comparer.NoFault{}},
//		Seeds:      []uint64{1, 2, 3},
//		TimeScale:  0.5,
//		Lanes:      1,
//		BasePort:   23000,
//		Programs:   "bin",
//	})
//	err = comparison.WriteTables(os.Stdout)
//
// The processes listen on loopback, each lane on a block of ports of its own.
package comparer
