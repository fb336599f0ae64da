package server

import (
	"crypto/tls"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/endivemast/endivemast/internal/budgeter"
)

// Defaults of Config.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 32 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultReadTimeout       = 30 * time.Second
	DefaultIdleTimeout       = 60 * time.Second
	DefaultWriteTimeout      = 30 * time.Second
	DefaultIdleGrace         = 500 * time.Millisecond
)

// Errors of New and Start for settings that are invalid or would allow unintended access.
var (
	errNoKeys                   = errors.New("no API keys: provide keys, or enable insecure access explicitly")
	errKeysWithInsecure         = errors.New("API keys and insecure access are mutually exclusive")
	errNoCertificate            = errors.New("no certificate: provide certificate and key files, or enable plain text explicitly")
	errCertificateWithPlainText = errors.New("certificate and plain text are mutually exclusive")
	errNoAddress                = errors.New("callers' and operators' addresses are required")
)

// Config holds the settings of a Server. A limit of zero takes its default.
type Config struct {
	CallersAddress   string // IP and port; port 0 selects a free one
	OperatorsAddress string // IP and port; port 0 selects a free one
	CertFile         string // PEM file
	KeyFile          string // PEM file
	PlainText        bool   // serve without TLS
	Keys             Keys
	Insecure         bool // serve without API keys; the X-Tenant header names the tenant

	// Budget is that of the process; nil: one of its own. OnRefuse is called for each connection
	// and header that it refuses; nil: no call.
	Budget   *budgeter.Budget
	OnRefuse func(reason error)

	MaxBodyBytes      int64
	MaxHeaderBytes    int
	MaxConnections    int           // of each listener, besides those that the Budget allows; 0: no limit
	ReadHeaderTimeout time.Duration // to read the header of a request
	ReadTimeout       time.Duration // to read a whole request, including the body
	IdleTimeout       time.Duration // for connections that are kept alive
	WriteTimeout      time.Duration // for one write to a client
	IdleGrace         time.Duration // in Close: time for clients to close idle connections
}

// withDefaults returns the settings with defaults in place of zero values.
func (c Config) withDefaults() Config {
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	if c.Budget == nil {
		c.Budget = budgeter.New(budgeter.Config{Limits: budgeter.LimitsOf(budgeter.Machine{})})
	}
	setDefault(&c.ReadHeaderTimeout, DefaultReadHeaderTimeout)
	setDefault(&c.ReadTimeout, DefaultReadTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.IdleGrace, DefaultIdleGrace)
	return c
}

// setDefault replaces a zero value.
func setDefault[T comparable](value *T, to T) {
	var zero T
	if *value == zero {
		*value = to
	}
}

// check rejects settings that would allow unintended access.
func (c Config) check() error {
	switch {
	case c.CallersAddress == "" || c.OperatorsAddress == "":
		return errNoAddress
	case c.Keys.Len() == 0 && !c.Insecure:
		return errNoKeys
	case c.Keys.Len() > 0 && c.Insecure:
		return errKeysWithInsecure
	case (c.CertFile == "" || c.KeyFile == "") && !c.PlainText:
		return errNoCertificate
	case (c.CertFile != "" || c.KeyFile != "") && c.PlainText:
		return errCertificateWithPlainText
	}
	return nil
}

// loadTLS reads the certificate. It returns nil for plain text.
func (c Config) loadTLS() (_ *tls.Config, err error) {
	defer func() { err = eris.Wrap(err, "load certificate") }()
	if c.PlainText {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.CertFile, c.KeyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}
