package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
	goahttp "goa.design/goa/v3/http"

	operatorhttp "github.com/endivemast/endivemast/internal/server/gen/http/operator/client"
	"github.com/endivemast/endivemast/internal/server/gen/operator"
)

// Global flags. Each is also read from the environment variable ENDIVEMAST_ followed by its
// name in upper case.
const (
	flagServer  = "server"
	flagToken   = "token"
	flagCAFile  = "ca-file"
	flagJSON    = "json"
	flagTimeout = "timeout"
)

const (
	defaultServer    = "https://127.0.0.1:8081"
	defaultTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// errNoCertificates reports that a CA file has no certificate.
var errNoCertificates = errors.New("CA file has no certificate")

// errResponseTooLarge reports a response beyond maxResponseBytes, which no endivemast host
// sends.
var errResponseTooLarge = errors.New("response is too large")

// ServerFlags returns the global flags of the commands that call a server.
func ServerFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagServer, Usage: "`URL` of the operators' address of an entry host",
			Value: defaultServer, Sources: cli.EnvVars("ENDIVEMAST_SERVER"),
		},
		&cli.StringFlag{
			Name: flagToken, Usage: "operator's API `KEY`; better given in the environment, where other users can't see it",
			Sources: cli.EnvVars("ENDIVEMAST_TOKEN"), HideDefault: true,
		},
		&cli.StringFlag{
			Name: flagCAFile, Usage: "PEM `FILE` of the authorities that the server's certificate may come from, in place of the system's",
			Sources: cli.EnvVars("ENDIVEMAST_CA_FILE"),
		},
		&cli.BoolFlag{
			Name: flagJSON, Usage: "print the API's JSON",
			Sources: cli.EnvVars("ENDIVEMAST_JSON"),
		},
		&cli.DurationFlag{
			Name: flagTimeout, Usage: "longest wait for an answer",
			Value: defaultTimeout, Sources: cli.EnvVars("ENDIVEMAST_TIMEOUT"),
		},
	}
}

// operatorClient calls the operators' API.
type operatorClient struct {
	*operator.Client
	recorder *recorder
	token    *string
}

// newOperatorClient creates a client from the global flags.
func newOperatorClient(cmd *cli.Command) (c *operatorClient, err error) {
	defer func() {
		if err != nil {
			err = usageError("%w", err)
		}
	}()
	server, err := url.Parse(cmd.String(flagServer))
	if err != nil {
		return nil, err
	}
	if (server.Scheme != "http" && server.Scheme != "https") || server.Host == "" {
		return nil, errors.New("--server must be http://HOST:PORT or https://HOST:PORT")
	}
	transport, err := newTransport(cmd.String(flagCAFile))
	if err != nil {
		return nil, err
	}
	c = &operatorClient{recorder: &recorder{client: http.Client{
		Transport:     transport,
		Timeout:       cmd.Duration(flagTimeout),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}}
	if token := cmd.String(flagToken); token != "" {
		c.token = &token
	}
	h := operatorhttp.NewClient(server.Scheme, server.Host, c.recorder, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	c.Client = operator.NewClient(h.ListClasses(), h.ShowClass(), h.SetClass(), h.DeleteClass(),
		h.ListApplications(), h.ShowApplication(), h.SetApplication(), h.DeleteApplication(),
		h.ShowChange(), h.Status(), h.Drain())
	return c, nil
}

// newTransport creates the HTTP transport. It uses no proxy, because the addresses are
// internal to the fleet.
func newTransport(caFile string) (_ *http.Transport, err error) {
	defer func() { err = eris.Wrap(err, "read CA file") }()
	transport := &http.Transport{DisableKeepAlives: true}
	if caFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errNoCertificates
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// recorder sends requests and keeps of the latest one what is needed to determine its outcome.
type recorder struct {
	client       http.Client
	hasConnected atomic.Bool // a connection was open: the server may have received the request
	status       int         // 0 without a complete response
	body         []byte
}

// Do sends a request and reads the complete response.
func (r *recorder) Do(req *http.Request) (*http.Response, error) {
	r.hasConnected.Store(false)
	r.status, r.body = 0, nil
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { r.hasConnected.Store(true) },
	})
	resp, err := r.client.Do(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	_ = resp.Body.Close() // the body was read completely, or reading failed
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	r.status, r.body = resp.StatusCode, body
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// withClient returns an action that creates a client and runs the function with it.
func withClient(run func(ctx context.Context, cmd *cli.Command, c *operatorClient) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		c, err := newOperatorClient(cmd)
		if err != nil {
			return err
		}
		return run(ctx, cmd, c)
	}
}
