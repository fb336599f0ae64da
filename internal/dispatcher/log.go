package dispatcher

// A Dispatcher writes log lines about single requests at debug level only, so that the log volume
// at info level doesn't depend on the traffic. The level is checked before a line's fields are
// collected, so a disabled line costs almost nothing.

// logAttempt logs the end of an attempt.
func (d *Dispatcher) logAttempt(request Request, attemptID, endpointID string, err error) {
	if !d.cfg.Logger.IsDebug() {
		return
	}
	d.cfg.Logger.Debug("attempt ended", "request_id", request.RequestID, "attempt_id", attemptID,
		"tenant", request.Tenant, "class", request.Class, "endpoint_id", endpointID, "error", err)
}

// logRequest logs the end of a request.
func (d *Dispatcher) logRequest(request Request, answer Answer, outcome, reason string) {
	if !d.cfg.Logger.IsDebug() {
		return
	}
	d.cfg.Logger.Debug("request ended", "request_id", request.RequestID, "tenant", request.Tenant,
		"class", request.Class, "outcome", outcome, "reason", reason, "attempts", answer.Attempts,
		"first_token_ms", answer.FirstToken.Milliseconds(), "completion_ms", answer.Completion.Milliseconds())
}

// eventError returns the error of an attempt's last event, or nil if the attempt succeeded.
func eventError(final event) error {
	if failed, ok := final.(failureEvent); ok {
		return failed.err
	}
	return nil
}
