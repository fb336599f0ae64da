package comparer

import (
	"fmt"
	"io"
	"time"

	"github.com/endivemast/endivemast/internal/loader"
	"github.com/endivemast/endivemast/standins/placer"
)

// Variant is a configuration of the entry hosts.
type Variant struct {
	Name       string   `json:"name"`
	EntryFlags []string `json:"entry_flags"`
	IsBaseline bool     `json:"is_baseline"` // a baseline of routing and admission; counts for the best baseline
	Programs   string   `json:"-"`           // directory with the programs, if other than that of Options
}

// PolicyName is the name of the variant with the default settings.
const PolicyName = "policy"

// Variants returns the policy and the variants that it is compared with.
func Variants() []Variant {
	return []Variant{
		{Name: PolicyName},
		{Name: "round_robin", EntryFlags: []string{"--routing=round_robin", "--admission=all", "--roles=never"}, IsBaseline: true},
		{Name: "fewest_in_flight", EntryFlags: []string{"--routing=fewest_in_flight", "--admission=all", "--roles=never"}, IsBaseline: true},
		{Name: "never", EntryFlags: []string{"--roles=never"}},
		{Name: "every_swing", EntryFlags: []string{"--roles=every_swing"}},
	}
}

// EarlierBuildName is the name of the variant that runs an earlier build.
const EarlierBuildName = "before"

// EarlierBuild returns the policy variant that runs the programs of an earlier
// build from a directory.
func EarlierBuild(programs string) Variant {
	return Variant{Name: EarlierBuildName, Programs: programs}
}

// VariantByName returns the variant with the given name, or an error for an
// unknown name.
func VariantByName(name string) (Variant, error) {
	for _, variant := range Variants() {
		if variant.Name == name {
			return variant, nil
		}
	}
	return Variant{}, fmt.Errorf("unknown variant %q: must be policy, round_robin, fewest_in_flight, never or every_swing", name)
}

// Options are the settings of a comparison.
type Options struct {
	Deployment placer.Deployment
	Scenarios  []string // paths of the scenario files
	Variants   []Variant
	Faults     []Fault
	Seeds      []uint64 // one repetition for each seed
	TimeScale  float64  // multiplies the phases' durations
	RateScale  float64
	Lanes      int    // number of deployments that run in parallel
	BasePort   int    // the first port of the first lane
	Programs   string // directory with the programs endivemast and standin
	Logs       string // directory for the processes' logs
	MaxLag     time.Duration
	Attempts   int // limit of attempts for a run whose loader was late
	Progress   io.Writer
}

// RunKey identifies one run.
type RunKey struct {
	Scenario string `json:"scenario"`
	Fault    string `json:"fault"`
	Variant  string `json:"variant"`
	Seed     uint64 `json:"seed"`
}

// Result has the measurements of one run.
type Result struct {
	RunKey
	Report *loader.Report `json:"report"`
	// Bound is the upper bound of the weighted goodput for any scheduler.
	Bound float64 `json:"bound"`
	// Utilisation is, by application, the minimum engine seconds of the requests
	// as a share of the engine seconds of the scenario's duration.
	Utilisation map[string]float64 `json:"utilisation"`
	// Dropped has, for each run that was dropped because the loader was late, the
	// 99th percentile of the loader's send delay in milliseconds.
	Dropped []float64 `json:"dropped_lag_ms"`
	// IsLate reports whether the loader was late in the last attempt too.
	IsLate bool `json:"is_late"`
	// LoadAverage is the machine's one-minute load average at the end of the run.
	LoadAverage float64 `json:"load_average"`
	Retries     int     `json:"retries"` // attempts beyond the first, hedges included
	Hedges      int     `json:"hedges"`
	CPUSeconds  float64 `json:"entry_cpu_seconds"` // total of all entry hosts
}

// Comparison has the settings and the results of a comparison.
type Comparison struct {
	Deployment string    `json:"deployment"`
	TimeScale  float64   `json:"time_scale"`
	RateScale  float64   `json:"rate_scale"`
	Variants   []Variant `json:"variants"`
	Results    []Result  `json:"results"`
}
