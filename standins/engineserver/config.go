package engineserver

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/endivemast/endivemast/internal/driver"
)

// Config configures an engine. DefaultConfig returns the defaults.
type Config struct {
	EndpointID  string
	Zone        string
	Application string // calls for other applications are refused
	Model       string
	Version     string
	Adapter     string
	Role        driver.Role
	Address     string // to listen on
	// AdvertiseAddress is the address in the handles of exported KV caches;
	// empty: the listener's address.
	AdvertiseAddress string
	// ChecksFencing makes the engine refuse orders with an epoch below the
	// highest one received, and report that epoch.
	ChecksFencing bool
	TimeModel     TimeModel
	MaxWaiting    int // queue limit; further requests are refused as busy
	// DecodePrefillLimit is how many prompt tokens a decode engine computes
	// itself for one request; a request that needs more is refused.
	DecodePrefillLimit int

	ReportLag       time.Duration // age of the load in reports
	CacheEventDelay time.Duration // from a cache event to its publication
	CacheEventGap   int           // every CacheEventGap-th event is never published; 0: none
	CacheEventsKept int           // published events that are kept for reports
	RoleTime        time.Duration // duration of a role change after the drain
	LoadTime        time.Duration // duration of loading a model after the drain
	ExportTTL       time.Duration // how long an exported KV cache is kept
	AliveInterval   time.Duration // between keep-alive lines in a stream
	DrainTimeout    time.Duration // how long a terminated process waits for running work
	Logger          hclog.Logger
	OnCrash         func() // called after a crash fault has reset all connections
}

// TimeModel describes the duration of an engine's work and its limits. A step
// lasts
//
//	StepBase + PerSequence × batch + PerPrefillToken × prompt tokens in the step
//
// and generates one token for each sequence of the batch whose prompt is
// computed. A sequence's first token comes with the step that completes its
// prompt.
type TimeModel struct {
	StepBase        time.Duration
	PerSequence     time.Duration
	PerPrefillToken time.Duration
	ChunkTokens     int // maximum prompt tokens in one step
	MaxBatch        int // maximum sequences in one step
	// KVTokens is the memory for running sequences and exports. A sequence
	// reserves its prompt and its longest output when it is admitted.
	KVTokens          int
	PrefixCacheTokens int   // memory for prompt prefixes, not part of KVTokens
	KVBytesPerToken   int64 // of an exported cache
	ImportBandwidth   int64 // bytes a second, shared by an engine's imports
}

// DefaultTimeModel returns the time model of a small engine.
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

// DefaultConfig returns the settings of an engine on a free port of the
// loopback address.
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

// duration returns how long a step takes.
func (m TimeModel) duration(batch, prefillTokens int) time.Duration {
	return m.StepBase + time.Duration(batch)*m.PerSequence + time.Duration(prefillTokens)*m.PerPrefillToken
}
