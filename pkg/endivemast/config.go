package endivemast

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/claimer"
	"github.com/endivemast/endivemast/internal/exchanger"
	"github.com/endivemast/endivemast/internal/scheduler"
	"github.com/endivemast/endivemast/internal/scheduler/planner"
	"github.com/endivemast/endivemast/internal/scheduler/router"
)

// Defaults of a Config.
const (
	DefaultLeaseTTL        = 3 * time.Second
	DefaultStoreTimeout    = claimer.DefaultStoreTimeout
	DefaultDrainGrace      = 2 * time.Second
	DefaultDrainTimeout    = 10 * time.Minute
	DefaultTick            = 100 * time.Millisecond
	DefaultSummaryInterval = 10 * time.Second
	// MinSecretBytes is the smallest length of the peer secret.
	MinSecretBytes = 16
)

// Peer is another entry host.
type Peer struct {
	HostID  string
	Zone    string
	Address string // IP and port of its peer protocol
}

// Config holds the settings of an entry host. Addresses are IP and port.
type Config struct {
	HostID string
	Zone   string
	// Incarnation identifies this process in the platform's list of hosts. Empty: one is
	// generated; the list then can't prove that this process has exited.
	Incarnation string

	CallersAddress   string
	OperatorsAddress string
	PeersAddress     string
	Peers            []Peer
	StoreAddresses   []string // of the key-value service
	PlatformAddress  string   // of the list of hosts; empty: the first of StoreAddresses

	KeysFile string // API keys; required unless Insecure
	Insecure bool   // serve without API keys and without a peer secret
	// PeerSecretFile holds the secret that all entry hosts share, for the peer protocol
	// and for tickets. Required unless Insecure.
	PeerSecretFile string
	CertFile       string
	KeyFile        string
	CAFile         string // verifies the peers' certificates
	PlainText      bool   // serve callers, operators and peers without TLS

	MaxBodyBytes   int64
	MaxConnections int
	// MemoryMB is the memory of the machine in MiB; 0: not stated. MaxDescriptors is the limit of
	// the process's file descriptors; 0: the process's own limit.
	MemoryMB       int
	MaxDescriptors int
	// MetricTenants is how many tenants have their own histograms.
	MetricTenants int

	LeaseTTL time.Duration
	// StoreTimeout bounds a call to the key-value service, and one commit of claims to it.
	// Requests whose commit takes longer are answered as "unknown".
	StoreTimeout    time.Duration
	DrainGrace      time.Duration // from reporting not ready until the listeners close
	DrainTimeout    time.Duration // for running requests
	Tick            time.Duration
	SummaryInterval time.Duration // between two log lines that summarize the requests

	// Routing, Admission and Roles select a baseline policy for comparison; empty: the
	// default policy.
	Routing   string
	Admission string
	Roles     string
	// NoHedge disables hedges, the second attempts for slow requests.
	NoHedge bool

	Version string
	Logger  hclog.Logger // nil: none
}

// SettingError describes an invalid setting.
type SettingError struct {
	Setting string // its flag's name
	Value   string
	Want    string // what would be accepted
}

// Error returns the setting, its value and the accepted values.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s: got %q, want %s", e.Setting, e.Value, e.Want)
}

// settingErrors collects the errors of all settings, so that they are reported together.
type settingErrors struct{ errs []error }

func (f *settingErrors) add(setting, value, want string) {
	f.errs = append(f.errs, &SettingError{Setting: setting, Value: value, Want: want})
}

func (f *settingErrors) name(setting, value string) {
	if value == "" || len(value) > 64 || strings.ContainsAny(value, " /,=\t\n") {
		f.add(setting, value, "a name of 1 to 64 characters without spaces, slashes, commas and equals signs")
	}
}

func (f *settingErrors) address(setting, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		f.add(setting, value, "an IP address and a port, such as 10.0.0.1:8080")
	}
}

func (f *settingErrors) file(setting, value string) (readable bool) {
	if _, err := os.ReadFile(value); err != nil {
		f.add(setting, value, "a readable file")
		return false
	}
	return true
}

func (f *settingErrors) positive(setting string, d time.Duration) {
	if d <= 0 {
		f.add(setting, d.String(), "a positive duration, such as 2s")
	}
}

func (f *settingErrors) notNegative(setting string, n int64) {
	if n < 0 {
		f.add(setting, strconv.FormatInt(n, 10), "a positive number, or 0 for the default")
	}
}

// WithDefaults returns the configuration with zero values replaced by the defaults.
func (cfg Config) WithDefaults() Config {
	setDefault(&cfg.LeaseTTL, DefaultLeaseTTL)
	setDefault(&cfg.StoreTimeout, DefaultStoreTimeout)
	setDefault(&cfg.DrainGrace, DefaultDrainGrace)
	setDefault(&cfg.DrainTimeout, DefaultDrainTimeout)
	setDefault(&cfg.Tick, DefaultTick)
	setDefault(&cfg.SummaryInterval, DefaultSummaryInterval)
	if cfg.PlatformAddress == "" && len(cfg.StoreAddresses) > 0 {
		cfg.PlatformAddress = cfg.StoreAddresses[0]
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return cfg
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Check returns the errors of all settings, as SettingErrors.
func (cfg Config) Check() error {
	f := &settingErrors{}
	f.name("host-id", cfg.HostID)
	f.name("zone", cfg.Zone)
	f.address("callers-address", cfg.CallersAddress)
	f.address("operators-address", cfg.OperatorsAddress)
	f.address("peers-address", cfg.PeersAddress)
	if len(cfg.StoreAddresses) == 0 {
		f.add("store", "", "at least one address of the key-value service")
	}
	for _, address := range cfg.StoreAddresses {
		f.address("store", address)
	}
	cfg.checkPeers(f)
	cfg.checkAccess(f)
	f.notNegative("max-body-bytes", cfg.MaxBodyBytes)
	f.notNegative("max-connections", int64(cfg.MaxConnections))
	f.notNegative("metric-tenants", int64(cfg.MetricTenants))
	f.positive("lease-ttl", cfg.LeaseTTL)
	f.positive("store-timeout", cfg.StoreTimeout)
	f.positive("drain-grace", cfg.DrainGrace)
	f.positive("drain-timeout", cfg.DrainTimeout)
	f.positive("tick", cfg.Tick)
	f.positive("summary-every", cfg.SummaryInterval)
	cfg.checkPolicy(f)
	return errors.Join(append(f.errs, CheckMachine(cfg.MemoryMB, cfg.MaxDescriptors))...)
}

// Smallest accepted limits of a machine.
const (
	minMemoryMB    = 64
	minDescriptors = 400
)

// CheckMachine returns the errors of the settings that describe the machine, as SettingErrors.
func CheckMachine(memoryMB, maxDescriptors int) error {
	f := &settingErrors{}
	if memoryMB != 0 && memoryMB < minMemoryMB {
		f.add("memory-mb", strconv.Itoa(memoryMB), fmt.Sprintf("0, or at least %d", minMemoryMB))
	}
	if maxDescriptors != 0 && maxDescriptors < minDescriptors {
		f.add("max-descriptors", strconv.Itoa(maxDescriptors), fmt.Sprintf("0, or at least %d", minDescriptors))
	}
	return errors.Join(f.errs...)
}

func (cfg Config) checkPeers(f *settingErrors) {
	seen := map[string]bool{cfg.HostID: true}
	for _, peer := range cfg.Peers {
		f.name("peer", peer.HostID)
		f.name("peer", peer.Zone)
		f.address("peer", peer.Address)
		if seen[peer.HostID] {
			f.add("peer", peer.HostID, "each host id once, this host's left out")
		}
		seen[peer.HostID] = true
	}
}

func (cfg Config) checkPolicy(f *settingErrors) {
	policy := cfg.policy()
	choice(f, "routing", policy.Routing, router.EstimatedFinish, router.RoundRobin, router.FewestInFlight)
	choice(f, "admission", policy.Admission, scheduler.AdmitBySlack, scheduler.AdmitAll)
	choice(f, "roles", policy.Roles, planner.Planned, planner.Never, planner.FollowDemand)
}

// choice adds an error for a value that is neither empty nor accepted.
func choice[T ~string](f *settingErrors, setting string, value T, accepted ...T) {
	if value == "" || slices.Contains(accepted, value) {
		return
	}
	names := make([]string, 0, len(accepted))
	for _, name := range accepted {
		names = append(names, string(name))
	}
	f.add(setting, string(value), "one of "+strings.Join(names, ", "))
}

func (cfg Config) policy() scheduler.Policy {
	return scheduler.Policy{
		Routing:   router.Strategy(cfg.Routing),
		Admission: scheduler.Admission(cfg.Admission),
		Roles:     planner.Strategy(cfg.Roles),
	}
}

func (cfg Config) peers() []exchanger.Peer {
	peers := make([]exchanger.Peer, 0, len(cfg.Peers))
	for _, peer := range cfg.Peers {
		peers = append(peers, exchanger.Peer{HostID: peer.HostID, Zone: peer.Zone, Address: peer.Address})
	}
	return peers
}
