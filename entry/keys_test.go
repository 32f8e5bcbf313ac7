package entry_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keyFiles are the paths of a certificate, its key and the authority that signed it.
type keyFiles struct{ certificate, key, authority string }

// newKeys writes an authority and a certificate for loopback to the test's temporary directory.
func newKeys(t *testing.T) keyFiles {
	is := is.New(t)
	is.Helper()
	folder := t.TempDir()
	authorityKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	authority := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	authorityDER, err := x509.CreateCertificate(rand.Reader, authority, authority, &authorityKey.PublicKey, authorityKey)
	is.NoErr(err)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: authority.NotBefore, NotAfter: authority.NotAfter,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	leafDER, err := x509.CreateCertificate(rand.Reader, leaf, authority, &key.PublicKey, authorityKey)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return file
	}
	return keyFiles{
		certificate: write("entry.pem", "CERTIFICATE", leafDER),
		key:         write("entry.key", "EC PRIVATE KEY", keyDER),
		authority:   write("authority.pem", "CERTIFICATE", authorityDER),
	}
}

// client returns the TLS configuration of an operator with the keys.
func (k keyFiles) client(t *testing.T) *tls.Config {
	is := is.New(t)
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	is.NoErr(err)
	pool := x509.NewCertPool()
	authority, err := os.ReadFile(k.authority)
	is.NoErr(err)
	is.True(pool.AppendCertsFromPEM(authority))
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}
}
