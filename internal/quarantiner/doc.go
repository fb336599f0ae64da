// Package quarantiner keeps requests from endpoints that crash the endpoints that
// run them.
//
// A request may crash each engine that begins to run it. Its caller sends it
// again, under another id and to another host, and the next engine crashes, with
// all streams of other callers on it: one request crashed 31 engines within 16 s,
// and broke off 5 to 16 streams with each. An attempt's own limits don't help: each
// attempt begins with a clean sheet at a host that has never heard of the request.
//
// So hosts name requests (see Name) and tell each other which of them were under
// way at a process that has crashed. All that were break off together, and one of
// them may be to blame, or none. A request is quarantined once three processes have
// crashed under it, each soon after it was begun there, one after the other, and
// each time no other request there has as many crashes to its name; and as long as
// no run of it has gone on for a while. That leaves in peace
//
//   - what runs beside it: it also runs on engines that do not crash;
//   - a popular request that runs on many engines that something else crashes: its
//     runs there did not begin one after the other's crash, and others run well;
//   - what is sent again after crashes for other causes: it would have to be hit
//     three times running.
//
// A request that one host quarantines is refused at once, by all hosts. After a pause
// one host tries it, and the others wait for the outcome: the pause doubles where an
// endpoint crashes, and a run that goes well lifts the quarantine. A caller that
// crashes engine after engine, with another request each time, keeps nearly all runs
// from going well, and can have what others send often quarantined for a pause at a
// time; it can't forge a name.
//
// # Usage
//
//	q := quarantiner.New(quarantiner.Config{Ask: drv.Reach, ...})
//	defer q.Close()
//	admission := q.Admit(&request)                 // before anything is done for it
//	q.BrokeOff(quarantiner.Break{Request: ...})    // a run that broke off
//	q.RanWell(&request)                            // a whole answer
//	q.Ended(process)                               // from whoever learns it
//	q.Tick(now)                                    // several times a second
//	words, position := q.Updates(position, exchanger.ScopeOwn) // for peers
//	q.Merge(words, isOwnZone)                            // from peers
package quarantiner
