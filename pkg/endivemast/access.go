package endivemast

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"

	"github.com/endivemast/endivemast/internal/server"
)

// Access control: the checks of its settings, the peer secret and the certificates.

// errNoCertificates is the error for a CA file without certificates.
var errNoCertificates = errors.New("a file of PEM certificates")

func (cfg Config) checkAccess(f *settingErrors) {
	cfg.checkKeys(f)
	if !cfg.Insecure || cfg.PeerSecretFile != "" {
		if secret, err := cfg.secret(); err != nil || cfg.PeerSecretFile == "" || len(secret) < MinSecretBytes {
			f.add("peer-secret-file", cfg.PeerSecretFile, fmt.Sprintf("a file of at least %d bytes, the same on all entry hosts", MinSecretBytes))
		}
	}
	if cfg.PlainText {
		if cfg.CertFile != "" || cfg.KeyFile != "" || cfg.CAFile != "" {
			f.add("plain-text", "true", "either cert-file, key-file and ca-file or plain-text, not both")
		}
		return
	}
	cfg.checkCertificates(f)
}

func (cfg Config) checkKeys(f *settingErrors) {
	switch {
	case cfg.Insecure && cfg.KeysFile != "":
		f.add("insecure", "true", "either keys-file or insecure, not both")
	case !cfg.Insecure && cfg.KeysFile == "":
		f.add("keys-file", "", "a file of API keys, or the setting insecure")
	case !cfg.Insecure:
		keys, err := server.LoadKeys(cfg.KeysFile)
		switch {
		case err != nil:
			f.add("keys-file", cfg.KeysFile, "a file of API keys: "+err.Error())
		case keys.Len() == 0:
			f.add("keys-file", cfg.KeysFile, "a file of at least one API key")
		}
	}
}

// checkCertificates loads the files that New will load, so that a key that does not belong
// to its certificate is reported here and not by the first connection.
func (cfg Config) checkCertificates(f *settingErrors) {
	readable := f.file("cert-file", cfg.CertFile)
	readable = f.file("key-file", cfg.KeyFile) && readable
	if readable {
		if _, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile); err != nil {
			f.add("cert-file", cfg.CertFile, "a PEM certificate that belongs to key-file: "+err.Error())
		}
	}
	if f.file("ca-file", cfg.CAFile) {
		if _, err := cfg.authorities(); err != nil {
			f.add("ca-file", cfg.CAFile, err.Error())
		}
	}
}

// secret returns the secret of the peer protocol. With Insecure and no file it is a fixed
// one, which protects nothing.
func (cfg Config) secret() (secret []byte, err error) {
	if cfg.PeerSecretFile == "" {
		return []byte("insecure-peer-secret"), nil
	}
	content, err := os.ReadFile(cfg.PeerSecretFile)
	// A newline that an editor or echo appended is not part of the secret: otherwise hosts
	// whose files differ only in the newline would refuse each other.
	return bytes.TrimRight(content, "\r\n"), err
}

// peerTLS returns the TLS settings of both sides of the peer protocol; nil for plain text.
// Both sides have to present a certificate of the CA.
func (cfg Config) peerTLS() (serverTLS, clientTLS *tls.Config, err error) {
	if cfg.PlainText {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(cfg.CertFile, cfg.KeyFile)
	if err != nil {
		return nil, nil, err
	}
	pool, err := cfg.authorities()
	if err != nil {
		return nil, nil, err
	}
	serverTLS = &tls.Config{
		Certificates: []tls.Certificate{cert}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	clientTLS = &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return serverTLS, clientTLS, nil
}

// authorities returns the CA certificates that verify the peers' certificates.
func (cfg Config) authorities() (pool *x509.CertPool, err error) {
	bundle, err := os.ReadFile(cfg.CAFile)
	if err != nil {
		return nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bundle) {
		return nil, errNoCertificates
	}
	return pool, nil
}
