package commander

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// statusCommand shows what a host knows.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show what the host knows of itself, its peers, the endpoints and the zone authorities",
		Description: `Example:
   endivemast status --server https://10.0.0.1:8081`,
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
			if _, err := arguments(cmd, 0); err != nil {
				return err
			}
			status, err := c.Status(ctx, &operator.StatusPayload{Token: c.token})
			if err != nil {
				return c.explainRead(cmd, err)
			}
			return c.printAnswer(cmd, func(w io.Writer) error { return printStatus(w, status) })
		}),
	}
}

// printStatus prints a status for people.
func printStatus(w io.Writer, s *operator.StatusResult) error {
	t := newTable(w, "HOST", "ZONE", "VERSION", "STATE", "CONFIG REVISION", "CONFIG AGE")
	t.row(s.HostID, s.Zone, s.Version, hostState(s), s.ConfigRevision, time.Duration(s.ConfigAgeMs)*time.Millisecond)
	if err := t.end(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "PEER", "ZONE", "STATE", "CONFIG REVISION")
	for _, p := range s.Peers {
		t.row(p.HostID, p.Zone, peerState(p), p.ConfigRevision)
	}
	if err := t.end(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "ENDPOINT", "ZONE", "APPLICATION", "ROLE", "STATE", "IN FLIGHT", "PREFILL/S", "DECODE/S")
	for _, e := range s.Endpoints {
		t.row(e.EndpointID, e.Zone, e.Application, e.Role, e.State, e.InFlight,
			rate(e.PrefillRate), rate(e.DecodeRate))
	}
	if err := t.end(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "AUTHORITY OF ZONE", "HOLDER", "EPOCH", "OPEN ORDERS", "AS OF")
	for _, a := range s.Authorities {
		t.row(a.Zone, a.Holder, a.Epoch, openOrders(a), asOf(a))
	}
	return t.end()
}

// rate is an estimated rate in words; a plain service has none.
func rate(perSecond float64) string {
	if perSecond == 0 {
		return ""
	}
	return fmt.Sprintf("%.0f", perSecond)
}

// peerState is a peer's state in words.
func peerState(p *operator.PeerStatus) string {
	switch {
	case !p.Reachable:
		return "unreachable"
	case p.Draining:
		return "draining"
	default:
		return "reachable"
	}
}

// openOrders is the number of a zone's open orders, by state.
func openOrders(a *operator.AuthorityStatus) string {
	words := []string{strconv.Itoa(a.OpenOrders)}
	for _, state := range slices.Sorted(maps.Keys(a.OrdersByState)) {
		words = append(words, fmt.Sprintf("%d %s", a.OrdersByState[state], state))
	}
	if len(words) == 1 {
		return words[0]
	}
	return words[0] + " (" + strings.Join(words[1:], ", ") + ")"
}

// asOf says how old the knowledge of a zone's authority is.
func asOf(a *operator.AuthorityStatus) string {
	age := time.Duration(a.AgeMs) * time.Millisecond
	switch {
	case a.Known:
		return "now"
	case age == 0:
		return "never read: the key-value service does not answer"
	default:
		return age.String() + " ago: the key-value service does not answer"
	}
}

// hostState is the host's state in words.
func hostState(s *operator.StatusResult) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready: " + s.Reason
	}
}
