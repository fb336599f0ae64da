// Package comparer measures the policy against baselines on real processes.
//
// For each run it starts a complete deployment, sends a scenario's load to it and
// stops it. The variants of one scenario and seed run one after another, so that
// other load on the machine affects all of them alike. A run in which the loader
// itself sent requests late is dropped and repeated.
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
// The processes listen on loopback. Each lane uses its own block of ports.
package comparer
