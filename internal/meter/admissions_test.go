package meter

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// An operator could not tell why work of a rank is refused without its share.
func TestAdmissions(t *testing.T) {
	m := New(Config{})
	m.RegisterAdmissions(func() []Admission {
		return []Admission{{Application: "lm", Rank: 2, Share: 0.25, Admitted: 7, Refused: 21}}
	})
	text := scrape(m)
	for _, want := range []string{
		`endivemast_admission_share{application="lm",rank="2"} 0.25`,
		`endivemast_admitted_total{application="lm",rank="2"} 7`,
		`endivemast_precedence_refusals_total{application="lm",rank="2"} 21`,
	} {
		assert.Assert(t, strings.Contains(text, want+"\n"), want)
	}
}
