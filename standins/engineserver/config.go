package engineserver

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/driver"
)

// Config is what an engine is made with. DefaultConfig gives the settings to start from.
type Config struct {
	EndpointID  string
	Zone        string
	Application string // calls for another one are refused
	Model       string
	Version     string
	Adapter     string
	Role        driver.Role
	Address     string // to listen on
	// AdvertiseAddress is the address in the handles of exported KV caches;
	// the listener's own when empty.
	AdvertiseAddress string
	// ChecksFencing makes the engine refuse orders with an epoch below the
	// highest that it has seen, and report that epoch.
	ChecksFencing bool
	TimeModel     TimeModel
	MaxWaiting    int // requests in the queue; beyond it they are refused as busy
	// DecodePrefillLimit is how many prompt tokens a decode engine computes
	// itself for one request; a request that needs more is refused.
	DecodePrefillLimit int

	ReportLag       time.Duration // age of the load figures in reports
	CacheEventDelay time.Duration // from a cache event to its publication
	CacheEventGap   int           // every so-many-th cache event is never published; 0: none
	CacheEventsKept int           // published events that can still be asked for
	RoleTime        time.Duration // that a change of role takes after the drain
	LoadTime        time.Duration // that loading a model takes after the drain
	ExportTTL       time.Duration // that an exported KV cache is kept
	AliveInterval   time.Duration // between the signs of life in a silent stream
	DrainTimeout    time.Duration // that a process told to end waits for its work
	Logger          hclog.Logger
	OnCrash         func() // called after a crash fault has reset all connections
}

// TimeModel says how long an engine's work takes, and what fits into it. A
// step lasts
//
//	StepBase + PerSequence × batch + PerPrefillToken × prompt tokens in the step
//
// and gives each sequence of the batch whose prompt is computed one token. A
// sequence's first token comes with the step that completes its prompt.
type TimeModel struct {
	StepBase        time.Duration
	PerSequence     time.Duration
	PerPrefillToken time.Duration
	ChunkTokens     int // most prompt tokens in one step
	MaxBatch        int // most sequences in one step
	// KVTokens is the memory for running sequences and exports. A sequence
	// takes its prompt and its longest output from it when it is admitted.
	KVTokens          int
	PrefixCacheTokens int   // memory for prompt prefixes beside KVTokens
	KVBytesPerToken   int64 // of an exported cache
	ImportBandwidth   int64 // bytes a second, shared by an engine's imports
}

// DefaultTimeModel is a modest engine.
func DefaultTimeModel() TimeModel {
	return TimeModel{
		StepBase:          8 * time.Millisecond,
		PerSequence:       150 * time.Microsecond,
		PerPrefillToken:   25 * time.Microsecond,
		ChunkTokens:       512,
		MaxBatch:          64,
		KVTokens:          200_000,
		PrefixCacheTokens: 50_000,
		KVBytesPerToken:   128 << 10,
		ImportBandwidth:   10 << 30,
	}
}

// DefaultConfig is an engine on a free port of the loopback address.
func DefaultConfig() Config {
	return Config{
		EndpointID:         "engine",
		Zone:               "zone",
		Application:        "application",
		Model:              "model",
		Version:            "1",
		Role:               driver.RoleMixed,
		Address:            "127.0.0.1:0",
		TimeModel:          DefaultTimeModel(),
		MaxWaiting:         4096,
		DecodePrefillLimit: 512,
		ReportLag:          250 * time.Millisecond,
		CacheEventDelay:    500 * time.Millisecond,
		CacheEventGap:      50,
		CacheEventsKept:    1024,
		RoleTime:           2 * time.Second,
		LoadTime:           4 * time.Second,
		ExportTTL:          15 * time.Second,
		AliveInterval:      500 * time.Millisecond,
		DrainTimeout:       2 * time.Minute,
	}
}

// duration is how long a step takes.
func (m TimeModel) duration(batch, prefillTokens int) time.Duration {
	return m.StepBase + time.Duration(batch)*m.PerSequence + time.Duration(prefillTokens)*m.PerPrefillToken
}
