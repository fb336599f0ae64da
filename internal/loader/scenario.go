package loader

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Shape says how levels move within a phase.
type Shape string

// Shapes of a phase.
const (
	ShapeSteady    Shape = "steady"    // levels throughout
	ShapeRamp      Shape = "ramp"      // straight from levels to to_levels
	ShapeOscillate Shape = "oscillate" // sine between levels and to_levels
	ShapeAlternate Shape = "alternate" // half a period levels, half a period to_levels
)

// KeySource says where the idempotency keys of a class come from.
type KeySource string

// Sources of idempotency keys.
const (
	KeyCaller    KeySource = "own"    // made by the caller
	KeyTicket KeySource = "ticket" // asked of the system before the call
)

// Kinds of class, as in the configuration.
const (
	KindGenerate = "generate"
	KindCall     = "call"
)

const (
	defaultAnswerTimeout = 30 * time.Second
	defaultReconnects    = 2
	maxScenarioRequests  = 2_000_000
)

// Scenario is a load with a shifting mix.
type Scenario struct {
	Name          string        `yaml:"name"`
	Base          string        `yaml:"base"` // file whose settings are taken where this one has none
	RateScale     float64       `yaml:"rate_scale"`
	AnswerTimeout time.Duration `yaml:"answer_timeout"`
	RetryRefused  bool          `yaml:"retry_refused"`
	// RetryUnknown makes callers ask another entry again with the same key
	// when they are told that a call may have run.
	RetryUnknown int           `yaml:"retry_unknown"` // times
	Reconnects   *int          `yaml:"reconnects"`
	Applications []Application `yaml:"applications"`
	Classes      []Class       `yaml:"classes"`
	Phases       []Phase       `yaml:"phases"`
}

// Application is written to the system's configuration before the run when
// that is asked for.
type Application struct {
	Name               string `yaml:"name"`
	Model              string `yaml:"model"`
	Version            string `yaml:"version"`
	Adapter            string `yaml:"adapter"`
	RoleChangesPerHour int    `yaml:"role_changes_per_hour"`
}

// Class is one class of work with its targets, its share of the load and the
// habits of its callers.
type Class struct {
	Tenant              string        `yaml:"tenant"`
	Name                string        `yaml:"name"`
	Kind                string        `yaml:"kind"`
	Application         string        `yaml:"application"`
	Operation           string        `yaml:"operation"`
	Repeatable          bool          `yaml:"repeatable"`
	KeySource           KeySource     `yaml:"key_source"`
	Stream              bool          `yaml:"stream"`
	Rate                float64       `yaml:"rate"`
	Weight              float64       `yaml:"weight"`
	PromptTokens        Distribution  `yaml:"prompt_tokens"`
	OutputTokens        Distribution  `yaml:"output_tokens"`
	Templates           int           `yaml:"templates"`
	TemplateTokens      int           `yaml:"template_tokens"`
	BodyBytes           int           `yaml:"body_bytes"`
	FirstTokenTarget    time.Duration `yaml:"first_token_target"`
	BetweenTokensTarget time.Duration `yaml:"between_tokens_target"`
	CompletionTarget    time.Duration `yaml:"completion_target"`
	AbandonShare        float64       `yaml:"abandon_share"`
	AbandonAfter        time.Duration `yaml:"abandon_after"`
	ResendShare         float64       `yaml:"resend_share"`
	ResendAfter         time.Duration `yaml:"resend_after"`
}

// Distribution is a log-normal distribution of token counts, cut at both ends.
type Distribution struct {
	Median float64 `yaml:"median"`
	Sigma  float64 `yaml:"sigma"` // of the logarithm; 0 gives the median always
	Min    int     `yaml:"min"`
	Max    int     `yaml:"max"` // 0: no upper end
}

// Sample draws a count of at least 1.
func (d Distribution) Sample(rng *rand.Rand) int {
	n := int(math.Round(d.Median * math.Exp(d.Sigma*rng.NormFloat64())))
	if d.Max > 0 {
		n = min(n, d.Max)
	}
	return max(n, d.Min, 1)
}

// Phase is a stretch of a scenario.
type Phase struct {
	Name     string             `yaml:"name"`
	Duration time.Duration      `yaml:"duration"`
	Shape    Shape              `yaml:"shape"`
	Period   time.Duration      `yaml:"period"`
	Levels   map[string]float64 `yaml:"levels"`
	ToLevels map[string]float64 `yaml:"to_levels"`
}

// ReadScenario reads and checks a scenario file and its base. Unknown fields
// are errors.
func ReadScenario(path string) (scenario Scenario, err error) {
	defer func() { err = eris.Wrapf(err, "read scenario %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	var named struct {
		Base string `yaml:"base"`
	}
	if err := yaml.Unmarshal(data, &named); err != nil {
		return Scenario{}, err
	}
	if named.Base == "" {
		return ParseScenario(data)
	}
	base, err := os.ReadFile(filepath.Join(filepath.Dir(path), named.Base))
	if err != nil {
		return Scenario{}, err
	}
	return ParseScenario(base, data)
}

// ParseScenario parses and checks a scenario; what a later document states
// replaces what an earlier one did. Unknown fields are errors.
func ParseScenario(documents ...[]byte) (scenario Scenario, err error) {
	defer func() { err = eris.Wrap(err, "parse scenario") }()
	for _, document := range documents {
		decoder := yaml.NewDecoder(bytes.NewReader(document))
		decoder.KnownFields(true)
		if err := decoder.Decode(&scenario); err != nil {
			return Scenario{}, err
		}
	}
	scenario.fillDefaults()
	return scenario, scenario.validate()
}

func (s *Scenario) fillDefaults() {
	if s.RateScale == 0 {
		s.RateScale = 1
	}
	if s.AnswerTimeout == 0 {
		s.AnswerTimeout = defaultAnswerTimeout
	}
	if s.Reconnects == nil {
		reconnects := defaultReconnects
		s.Reconnects = &reconnects
	}
	for i := range s.Classes {
		s.Classes[i].fillDefaults()
	}
	for i := range s.Phases {
		if s.Phases[i].Shape == "" {
			s.Phases[i].Shape = ShapeSteady
		}
	}
}

func (c *Class) fillDefaults() {
	if c.Weight == 0 {
		c.Weight = 1
	}
	if c.KeySource == "" {
		c.KeySource = KeyCaller
	}
	if c.Kind == KindGenerate {
		c.Repeatable = true
	}
}

func (s *Scenario) validate() error {
	if s.Name == "" {
		return eris.New("name is missing")
	}
	if s.RateScale < 0 || *s.Reconnects < 0 {
		return eris.New("rate_scale and reconnects must not be negative")
	}
	if len(s.Classes) == 0 || len(s.Phases) == 0 {
		return eris.New("at least one class and one phase are needed")
	}
	names := make(map[string]bool, len(s.Classes))
	for _, class := range s.Classes {
		if names[class.Name] {
			return eris.Errorf("class %s stands twice", class.Name)
		}
		names[class.Name] = true
		if err := class.validate(); err != nil {
			return eris.Wrapf(err, "class %q", class.Name)
		}
	}
	for _, phase := range s.Phases {
		if err := phase.validate(names); err != nil {
			return eris.Wrapf(err, "phase %q", phase.Name)
		}
	}
	return nil
}

func (c *Class) validate() error {
	switch {
	case c.Tenant == "" || c.Name == "" || c.Application == "":
		return eris.New("tenant, name and application are needed")
	case c.Rate < 0 || c.Weight < 0:
		return eris.New("rate and weight must not be negative")
	case c.CompletionTarget <= 0:
		return eris.New("completion_target is needed")
	case !isShare(c.AbandonShare) || !isShare(c.ResendShare):
		return eris.New("abandon_share and resend_share must be between 0 and 1")
	case c.KeySource != KeyCaller && c.KeySource != KeyTicket:
		return eris.Errorf("key_source %q is neither own nor ticket", c.KeySource)
	}
	switch c.Kind {
	case KindGenerate:
		if c.PromptTokens.Median <= 0 || c.OutputTokens.Median <= 0 {
			return eris.New("prompt_tokens and output_tokens need a median above 0")
		}
		if c.Templates > 0 && c.TemplateTokens <= 0 {
			return eris.New("template_tokens is needed with templates")
		}
	case KindCall:
		if c.Operation == "" {
			return eris.New("operation is needed")
		}
	default:
		return eris.Errorf("kind %q is neither generate nor call", c.Kind)
	}
	return nil
}

func isShare(share float64) bool { return share >= 0 && share <= 1 }

func (p *Phase) validate(classes map[string]bool) error {
	if p.Duration <= 0 {
		return eris.New("duration is needed")
	}
	switch p.Shape {
	case ShapeSteady, ShapeRamp:
	case ShapeOscillate, ShapeAlternate:
		if p.Period <= 0 {
			return eris.Errorf("shape %s needs a period", p.Shape)
		}
	default:
		return eris.Errorf("shape %q is none of steady, ramp, oscillate, alternate", p.Shape)
	}
	for _, levels := range []map[string]float64{p.Levels, p.ToLevels} {
		for name, level := range levels {
			if !classes[name] {
				return eris.Errorf("level of unknown class %q", name)
			}
			if level < 0 {
				return eris.Errorf("level of class %s is negative", name)
			}
		}
	}
	return nil
}

// Duration is how long arrivals go on.
func (s *Scenario) Duration() time.Duration {
	var total time.Duration
	for _, phase := range s.Phases {
		total += phase.Duration
	}
	return total
}

// level is a class's level at a time since the phase began.
func (p *Phase) level(class string, at time.Duration) float64 {
	from, ok := p.Levels[class]
	if !ok {
		from = 1
	}
	to, ok := p.ToLevels[class]
	if !ok {
		to = from
	}
	var share float64
	switch p.Shape {
	case ShapeSteady:
	case ShapeRamp:
		share = at.Seconds() / p.Duration.Seconds()
	case ShapeOscillate:
		share = (1 - math.Cos(2*math.Pi*at.Seconds()/p.Period.Seconds())) / 2
	case ShapeAlternate:
		if at%p.Period >= p.Period/2 {
			share = 1
		}
	}
	return from + (to-from)*share
}

// peak is the highest level that a class has in the phase.
func (p *Phase) peak(class string) float64 {
	from, to := p.level(class, 0), p.level(class, 0)
	if level, ok := p.ToLevels[class]; ok {
		to = level
	}
	return max(from, to)
}

// String names the scenario with its length.
func (s *Scenario) String() string {
	return fmt.Sprintf("%s (%s, %d classes)", s.Name, s.Duration(), len(s.Classes))
}
