package transporter

import (
	"iter"
	"strings"
)

// splitParameters yields the comma-separated parts of a header value, trimmed.
func splitParameters(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for part := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(part)) {
				return
			}
		}
	}
}

func cutTrimmed(part string, separator byte) (name, value string, found bool) {
	name, value, found = strings.Cut(part, string(separator))
	return strings.ToLower(strings.TrimSpace(name)), strings.TrimSpace(value), found
}
