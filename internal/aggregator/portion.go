package aggregator

// portionFloor is the part of a mean host's demand that each host's portion includes in
// addition to its own, so that a host without demand keeps room for a first request.
const portionFloor = 1.0 / 20

// Portion returns the fraction of an application's engines that a host counts on, from its
// own demand and the sum of those of other hosts. Hosts without known demand count with the
// mean. ok is false if no demand is known. The portions of hosts with the same data sum to 1.
func Portion(own, others, hosts, hostsWithout float64) (portion float64, ok bool) {
	if hosts <= 0 || own+others <= 0 {
		return 0, false
	}
	mean := (own + others) / (1 + hosts)
	floor := portionFloor * mean
	return (own + floor) / (own + others + floor*(1+hosts) + hostsWithout*(mean+floor)), true
}
