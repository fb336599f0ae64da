package exchanger

import (
	"time"

	"github.com/endivemast/endivemast/internal/exchanger/exchangerpb"
)

// attestation returns what this host can attest now; nil if it has no proof.
func (ex *Exchanger) attestation() *exchangerpb.Attestation {
	if ex.cfg.Attestations == nil {
		return nil
	}
	version, age, ok := ex.cfg.Attestations.Attestation()
	if !ok {
		return nil
	}
	// The age is rounded up so that relaying never makes a proof younger.
	return &exchangerpb.Attestation{Version: version, AgeUs: age.Microseconds() + 1}
}

// applyAttestation applies the attestation in a peer's reply. The proof had its stated age at
// some time after the request was sent, so it is at least as recent as sent minus that age.
func (ex *Exchanger) applyAttestation(message *exchangerpb.Attestation, sent time.Time) {
	if ex.cfg.Attestations == nil || message == nil || message.GetAgeUs() < 0 || message.GetAgeUs() > maxUpdateAge.Microseconds() {
		return
	}
	ex.cfg.Attestations.AddProof(message.GetVersion(), sent.Add(-time.Duration(message.GetAgeUs())*time.Microsecond))
}
