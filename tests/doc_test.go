// Package tests runs deployments of real processes on loopback behind a
// fault-injecting proxy.
//
// # Usage
//
// Scenarios are testdata/*.txtar in a small language on top of testscript; one
// file shows one kind of failure. Tests in Go use the same harness:
//
//	c, err := startCluster(t.TempDir(), clusterOptions{Deployment: placer.Vitosha().Small()})
//	defer c.Close()
//	c.network.cut("lozenets", platformZone, bothWays)
//	err = c.awaitReady(ctx, c.entries()...)
//
// The processes' ports come from a block that the test process holds; entry
// hosts reach peers, endpoints and the platform through one proxy for each
// zone and each target, so that zones can be cut off from each other.
// ENDIVEMAST_TEST_LOGS names a directory where the processes' logs are kept.
// ENDIVEMAST_TEST_OUTAGE_SECONDS lengthens the store's outage in once_outage,
// which reads it as $OUTAGE_SECONDS.
//
// Scenarios that need no cluster run the program itself, as $PROGRAM.
//
// # Commands of the scenario language
//
//	cluster vitosha|agency small|zone|full [entry.FLAG=VALUE] [engine.FLAG=VALUE] [service.FLAG=VALUE] [kv.FLAG=VALUE]
//	load start NAME SCENARIO [scale=0.2] [seed=1] [seconds=5] [zone=ZONE] [retry_unknown=2] [CLASS.FIELD=VALUE]
//	load stop NAME            no new arrivals; waits for the account
//	load wait NAME            waits for the scenario's end
//	load at NAME N            waits until N requests were sent
//	check load NAME FIGURE>=VALUE ...     FIGURE or CLASS.FIGURE of the account, also <=, ==
//	check load NAME sound     nothing lost, doubled or crossed
//	check orders [N]          no conflicting orders, no effect of a former holder; N had effects at least
//	check config              no host was seen going back to an older configuration
//	check engines FIGURE>=VALUE           of the sum of the engines' stats, also <=, ==
//	check no-work HOST        the endpoint takes no new work
//	note work HOST            notes how much work the endpoint has taken so far
//	check noted-work HOST     it has taken none since
//	crash|pause|resume|terminate|start HOST...   by SIGKILL, SIGSTOP, SIGCONT, SIGTERM
//	stall 3s HOST...          hosts stand still for a time, and go on
//	replace HOST              terminate, start and await ready
//	leaving HOST              the platform lists the host as leaving
//	listed HOST               the platform lists the host as live
//	unlist HOST               the platform lists the host no more
//	drain HOST                an operator or the endpoint itself begins a drain
//	fault HOST JSON           sets faults of a stand-in; the platform's host is kv
//	cut ZONE from ZONE|platform           both ways
//	cut ZONE to ZONE|platform             what the first sends is lost
//	slow ZONE from ZONE|platform 50ms
//	hold orders HOST [N]      what is sent to it as an order waits in the network, or N of them
//	heal                      ends all cuts and delays; lets what was held go
//	set class|application NAME FIELD=VALUE... by HOST     by the operators' API
//	race TENANT/NAME FIELD=VALUE FIELD=VALUE by HOST HOST     two changes from one revision; at most one is accepted
//	await intent HOST         the zone's record has an open order for the endpoint
//	await held HOST N         N orders to it wait in the network
//	await no-intent ZONE      the zone's record has no open order
//	await successor ZONE      another host than the last holder/ZONE has taken over
//	await loaded VERSION HOST...          engines have loaded it
//	await leaving HOST        every running entry host knows that the endpoint leaves
//	await crash HOST          the engine has crashed by a fault
//	await role-changes N      the engines have changed their role so often
//	await ready|unready HOST...
//	await config HOST...      the newest accepted change is in force there
//	await authority ZONE [not HOST]       a zone's authority is held (by another host)
//	await version APPLICATION VERSION     all its engines have it loaded
//	await idle HOST           the engine has no work left
//	await exit HOST           the process ended by itself, with status 0
//	await end HOST            the process ended, with whatever status
//
// HOST is a host's id, "entries", "engines" or "services", "holder/ZONE" for the
// host that holds the zone's authority, "former/ZONE" for the last host that was
// named so, "paused" for the entry hosts that are, or "running" for those that
// neither are nor have ended. A command that is
// preceded by "!" has to fail.
package tests
