package server

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestAccess(t *testing.T) {
	const callers, operators = "callers", "operators"
	tests := map[string]struct {
		listener string
		path     string
		headers  []string
		want     int
	}{
		"caller":                       {listener: callers, path: "/v1/tickets", headers: bearer(callerToken), want: 200},
		"caller, scheme in small":      {listener: callers, path: "/v1/tickets", headers: []string{"Authorization", "bearer " + callerToken}, want: 200},
		"caller without key":           {listener: callers, path: "/v1/tickets", want: 401},
		"caller with wrong key":        {listener: callers, path: "/v1/tickets", headers: bearer(callerToken + "x"), want: 401},
		"caller with bare key":         {listener: callers, path: "/v1/tickets", headers: []string{"Authorization", callerToken}, want: 401},
		"caller naming a tenant":       {listener: callers, path: "/v1/tickets", headers: []string{tenantHeader, "vitosha"}, want: 401},
		"operator as caller":           {listener: callers, path: "/v1/tickets", headers: bearer(operatorToken), want: 403},
		"unknown path without key":     {listener: callers, path: "/", want: 401},
		"unknown path":                 {listener: callers, path: "/", headers: bearer(callerToken), want: 404},
		"metrics on callers' listener": {listener: callers, path: "/metrics", headers: bearer(callerToken), want: 404},
		"drain on callers' listener":   {listener: callers, path: "/v1/operator/drain", headers: bearer(callerToken), want: 404},
		"operator":                     {listener: operators, path: "/v1/operator/drain", headers: bearer(operatorToken), want: 202},
		"caller as operator":           {listener: operators, path: "/v1/operator/drain", headers: bearer(callerToken), want: 403},
		"monitor as operator":          {listener: operators, path: "/v1/operator/drain", headers: bearer(monitorToken), want: 403},
		"operator without key":         {listener: operators, path: "/v1/operator/drain", want: 401},
		"calls on operators' listener": {listener: operators, path: "/v1/tickets", headers: bearer(operatorToken), want: 404},
		"wrong method":                 {listener: operators, path: "/v1/operator/status", headers: bearer(operatorToken), want: 405},
		"health with the wrong method": {listener: callers, path: "/healthz", want: 405},
	}
	s := startServer(t, testConfig(t), &fakeParts{})
	addresses := map[string]string{callers: s.Addresses().Callers, operators: s.Addresses().Operators}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			resp, body := ask(t, http.MethodPost, "http://"+addresses[tt.listener]+tt.path, "", tt.headers...)
			assert.Equal(t, resp.StatusCode, tt.want, body)
			assert.Equal(t, resp.Header.Get("WWW-Authenticate") != "", tt.want == 401)
		})
	}
	for token, want := range map[string]int{monitorToken: 200, operatorToken: 200, callerToken: 403, "none": 401} {
		resp, _ := ask(t, http.MethodGet, "http://"+addresses[operators]+"/metrics", "", bearer(token)...)
		assert.Equal(t, resp.StatusCode, want)
	}
}

func TestInsecureAccessTakesTheTenantsWord(t *testing.T) {
	cfg := testConfig(t)
	cfg.Keys, cfg.Insecure = Keys{}, true
	f := &fakeParts{}
	s := startServer(t, cfg, f)
	url := "http://" + s.Addresses().Callers + "/v1/classes/letters/generate"
	resp, _ := ask(t, http.MethodPost, url, generateBody, tenantHeader, "agency")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, f.request.Tenant, "agency")
	resp, _ = ask(t, http.MethodPost, url, generateBody)
	assert.Equal(t, resp.StatusCode, 401)
	resp, _ = ask(t, http.MethodGet, "http://"+s.Addresses().Operators+"/v1/operator/status", "")
	assert.Equal(t, resp.StatusCode, 200)
}

func TestAccessIsNeverOpenByDefault(t *testing.T) {
	tests := map[string]struct {
		change func(*Config)
		want   error
	}{
		"no keys":                 {change: func(c *Config) { c.Keys = Keys{} }, want: errNoKeys},
		"keys and insecure":       {change: func(c *Config) { c.Insecure = true }, want: errKeysIgnored},
		"no certificate":          {change: func(c *Config) { c.PlainText = false }, want: errNoTLS},
		"key file missing":        {change: func(c *Config) { c.PlainText, c.CertFile = false, "c" }, want: errNoTLS},
		"certificate, plain text": {change: func(c *Config) { c.CertFile, c.KeyFile = "c", "k" }, want: errTLSIgnored},
		"no address":              {change: func(c *Config) { c.OperatorsAddress = "" }, want: errNoAddress},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t)
			tt.change(&cfg)
			_, err := New(cfg, (&fakeParts{}).deps())
			assert.ErrorIs(t, err, tt.want)
		})
	}
	s := startServer(t, testConfig(t), &fakeParts{})
	assert.ErrorIs(t, s.SetKeys(Keys{}), errNoKeys)
}

func TestKeysFile(t *testing.T) {
	sum := sha256.Sum256([]byte(callerToken))
	hashed := hex.EncodeToString(sum[:])
	tests := map[string]struct {
		file  string
		fails string
	}{
		"hashed":          {file: fmt.Sprintf(`{"keys":[{"role":"caller","tenant":"vitosha","token_sha256":%q}]}`, hashed)},
		"in the clear":    {file: fmt.Sprintf(`{"keys":[{"role":"caller","tenant":"vitosha","token":%q}]}`, callerToken)},
		"short token":     {file: `{"keys":[{"role":"operator","token":"short"}]}`, fails: "shorter"},
		"neither":         {file: `{"keys":[{"role":"operator"}]}`, fails: "give token"},
		"no tenant":       {file: fmt.Sprintf(`{"keys":[{"role":"caller","token":%q}]}`, callerToken), fails: "needs a tenant"},
		"operator tenant": {file: fmt.Sprintf(`{"keys":[{"role":"operator","tenant":"v","token":%q}]}`, callerToken), fails: "only a caller"},
		"unknown role":    {file: fmt.Sprintf(`{"keys":[{"role":"root","token":%q}]}`, callerToken), fails: "role must be"},
		"bad hash":        {file: `{"keys":[{"role":"operator","token_sha256":"zz"}]}`, fails: "64 hexadecimal"},
		"unknown field":   {file: `{"keys":[],"open":true}`, fails: "unknown field"},
		"two values":      {file: `{"keys":[]}{}`, fails: "after the JSON value"},
		"token twice": {
			file:  fmt.Sprintf(`{"keys":[{"role":"operator","token":%[1]q},{"role":"monitor","token":%[1]q}]}`, callerToken),
			fails: "same token twice",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys.json")
			assert.NilError(t, os.WriteFile(path, []byte(tt.file), 0o600))
			keys, err := LoadKeys(path)
			if tt.fails != "" {
				assert.ErrorContains(t, err, tt.fails)
				assert.Assert(t, !strings.Contains(err.Error(), callerToken))
				return
			}
			assert.NilError(t, err)
			owner, ok := keys.lookup(callerToken)
			assert.Assert(t, ok)
			assert.Equal(t, owner, identity{role: RoleCaller, tenant: "vitosha"})
		})
	}
}
