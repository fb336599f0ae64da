package endivemast

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
	"github.com/endivemast/endivemast/internal/orderer"
)

func TestUpgradesTakeOneEngineOfAnApplicationAtATime(t *testing.T) {
	old := driver.Report{Application: "letters", Model: "m", Version: "1"}
	current := driver.Report{Application: "letters", Model: "m", Version: "2"}
	applying := current
	applying.LastOrderState = driver.OrderApplying
	other := driver.Report{Application: "desk", Model: "d", Version: "1"}
	draining := old
	draining.Draining = true
	tests := map[string]struct {
		reports map[string]driver.Report
		barred  string // the one endpoint that may not be chosen
		want    []string
	}{
		"all current":                      {reports: map[string]driver.Report{"e1": current, "e2": current}},
		"lowest id first":                  {reports: map[string]driver.Report{"e2": old, "e1": old, "e3": current}, want: []string{"e1"}},
		"waits for the one that is busy":   {reports: map[string]driver.Report{"e1": old, "e2": applying}},
		"application without a model":      {reports: map[string]driver.Report{"e1": other}},
		"another application is no bother": {reports: map[string]driver.Report{"e1": old, "e2": other}, want: []string{"e1"}},
		"one that may not be changed":      {reports: map[string]driver.Report{"e1": old, "e2": old}, barred: "e1", want: []string{"e2"}},
		"one that drains by itself":        {reports: map[string]driver.Report{"e1": draining, "e2": old}, want: []string{"e2"}},
		"busy, and may not be changed":     {reports: map[string]driver.Report{"e1": applying, "e2": old}, barred: "e1"},
	}
	application := func(name string) (configurer.Application, bool) {
		return configurer.Application{Name: name, Model: "m", Version: "2"}, name == "letters"
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			may := func(endpointID string) bool { return endpointID != test.barred }
			for _, next := range upgrades(test.reports, may, application) {
				got = append(got, next.EndpointID)
				assert.DeepEqual(t, next.Order, driver.LoadModel{Model: "m", Version: "2"})
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestUpgradeLogHoldsBackOnlyTheSameOrder(t *testing.T) {
	given := upgrade{EndpointID: "e1", Order: driver.LoadModel{Model: "m", Version: "2"}}
	other := upgrade{EndpointID: "e1", Order: driver.LoadModel{Model: "m", Version: "3"}}
	tests := map[string]struct {
		submitErr error
		next      upgrade
		after     time.Duration
		want      bool
	}{
		"taken":                       {next: given, want: true},
		"perhaps taken":               {submitErr: driver.ErrOutcomeUnknown, next: given, want: true},
		"taken long ago":              {next: given, after: upgradeAgainAfter + 1},
		"another version":             {next: other},
		"not given: an order is open": {submitErr: orderer.ErrOrderOpen, next: given},
		"not given: refused":          {submitErr: driver.ErrRefused, next: given},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			log := upgradeLog{}
			log.note(given, now, test.submitErr)
			assert.Equal(t, log.isRecent(test.next, now.Add(test.after)), test.want)
		})
	}
}
