package endivemast

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivemast/endivemast/internal/configurer"
	"github.com/endivemast/endivemast/internal/driver"
)

func TestUpgradesTakeOneEngineOfAnApplicationAtATime(t *testing.T) {
	old := driver.Report{Application: "letters", Model: "m", Version: "1"}
	current := driver.Report{Application: "letters", Model: "m", Version: "2"}
	applying := current
	applying.LastOrderState = driver.OrderApplying
	other := driver.Report{Application: "desk", Model: "d", Version: "1"}
	tests := map[string]struct {
		reports map[string]driver.Report
		want    []string
	}{
		"all current":                      {reports: map[string]driver.Report{"e1": current, "e2": current}},
		"lowest id first":                  {reports: map[string]driver.Report{"e2": old, "e1": old, "e3": current}, want: []string{"e1"}},
		"waits for the one that is busy":   {reports: map[string]driver.Report{"e1": old, "e2": applying}},
		"application without a model":      {reports: map[string]driver.Report{"e1": other}},
		"another application is no bother": {reports: map[string]driver.Report{"e1": old, "e2": other}, want: []string{"e1"}},
	}
	application := func(name string) (configurer.Application, bool) {
		return configurer.Application{Name: name, Model: "m", Version: "2"}, name == "letters"
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, next := range upgrades(test.reports, application) {
				got = append(got, next.EndpointID)
				assert.DeepEqual(t, next.Order, driver.LoadModel{Model: "m", Version: "2"})
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}
