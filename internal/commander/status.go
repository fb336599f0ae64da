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

// statusCommand returns the command that shows the status of a host.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of the host and its view of its peers, the endpoints and the zone authorities",
		Description: `Example:
   endivemast status --server https://10.0.0.1:8081`,
		Action: withClient(func(ctx context.Context, cmd *cli.Command, c *operatorClient) error {
			if _, err := arguments(cmd, 0); err != nil {
				return err
			}
			status, err := c.Status(ctx, &operator.StatusPayload{Token: c.token})
			if err != nil {
				return c.readError(cmd, err)
			}
			return c.printAnswer(cmd, func(w io.Writer) error { return printStatus(w, status) })
		}),
	}
}

// printStatus prints a status as tables.
func printStatus(w io.Writer, s *operator.StatusResult) error {
	t := newTable(w, "HOST", "ZONE", "VERSION", "STATE", "CONFIG REVISION", "CONFIG AGE")
	t.addRow(s.HostID, s.Zone, s.Version, formatHostState(s), s.ConfigRevision, time.Duration(s.ConfigAgeMs)*time.Millisecond)
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "PEER", "ZONE", "STATE", "CONFIG REVISION")
	for _, p := range s.Peers {
		t.addRow(p.HostID, p.Zone, formatPeerState(p), p.ConfigRevision)
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "ENDPOINT", "ZONE", "APPLICATION", "ROLE", "STATE", "IN FLIGHT", "PREFILL/S", "DECODE/S")
	for _, e := range s.Endpoints {
		t.addRow(e.EndpointID, e.Zone, e.Application, e.Role, e.State, e.InFlight,
			formatRate(e.PrefillRate), formatRate(e.DecodeRate))
	}
	if err := t.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t = newTable(w, "AUTHORITY OF ZONE", "HOLDER", "EPOCH", "OPEN ORDERS", "AS OF")
	for _, a := range s.Authorities {
		t.addRow(a.Zone, a.Holder, a.Epoch, formatOpenOrders(a), formatRecordAge(a))
	}
	return t.flush()
}

// formatRate formats an estimated rate in tokens a second. It returns "" for 0, as for a plain
// service.
func formatRate(perSecond float64) string {
	if perSecond == 0 {
		return ""
	}
	return fmt.Sprintf("%.0f", perSecond)
}

// formatPeerState formats the state of a peer.
func formatPeerState(p *operator.PeerStatus) string {
	switch {
	case !p.Reachable:
		return "unreachable"
	case p.Draining:
		return "draining"
	default:
		return "reachable"
	}
}

// formatOpenOrders formats the number of open orders of a zone, in total and by state.
func formatOpenOrders(a *operator.AuthorityStatus) string {
	parts := []string{strconv.Itoa(a.OpenOrders)}
	for _, state := range slices.Sorted(maps.Keys(a.OrdersByState)) {
		parts = append(parts, fmt.Sprintf("%d %s", a.OrdersByState[state], state))
	}
	if len(parts) == 1 {
		return parts[0]
	}
	return parts[0] + " (" + strings.Join(parts[1:], ", ") + ")"
}

// formatRecordAge formats the age of the record of a zone authority.
func formatRecordAge(a *operator.AuthorityStatus) string {
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

// formatHostState formats the state of the host.
func formatHostState(s *operator.StatusResult) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "ready"
	default:
		return "not ready: " + s.Reason
	}
}
