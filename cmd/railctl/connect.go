package main

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/operator"
)

// tlsFiles are the files for control listeners with mutual TLS.
type tlsFiles struct {
	certificate string
	key         string
	authority   string
}

// tlsFlags contains the files given by the flags that all subcommands share.
var tlsFlags tlsFiles

// addFlags adds the flags for the files, which all subcommands share.
func (k *tlsFiles) addFlags() {
	flaggy.String(&k.certificate, "", "certificate", "PEM file of the operator's certificate, for entries with mutual TLS")
	flaggy.String(&k.key, "", "key", "PEM file of the certificate's key")
	flaggy.String(&k.authority, "", "authority", "PEM file of the authority that signed the entries' certificates")
}

// client returns the HTTP client and the URL scheme for the control listeners.
func (k *tlsFiles) client() (*http.Client, string, error) {
	if *k == (tlsFiles{}) {
		return http.DefaultClient, "http://", nil
	}
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return nil, "", errors.Wrap(err, "state --certificate, --key and --authority together")
	}
	authority, err := os.ReadFile(k.authority)
	if err != nil {
		return nil, "", errors.Wrap(err, "state --certificate, --key and --authority together")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, "", errors.Errorf("%s holds no certificate", k.authority)
	}
	config := &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: config}}, "https://", nil
}

// newClient returns a client for the entry at the control address.
func newClient(address string) (*operator.Client, error) {
	if address == "" {
		return nil, errors.New("state the control address of an entry, HOST:PORT")
	}
	client, scheme, err := tlsFlags.client()
	if err != nil {
		return nil, err
	}
	return operator.NewClient(client, scheme+address), nil
}
