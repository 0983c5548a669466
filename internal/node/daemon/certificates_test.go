package daemon

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/node/setup"
	"github.com/lentildeck/lentildeck/internal/peer/link"
	"gotest.tools/v3/assert"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	assert.NilError(t, err)
	a.cert, err = x509.ParseCertificate(raw)
	assert.NilError(t, err)
	a.write("authority.pem", "CERTIFICATE", raw)
	return a
}

func (a *authority) write(name, kind string, raw []byte) {
	a.t.Helper()
	assert.NilError(a.t, os.WriteFile(filepath.Join(a.dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
}

// issue replaces the certificate's files by a new one with the serial number.
func (a *authority) issue(serial int64) setup.Keys {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	assert.NilError(a.t, err)
	a.write("instance.pem", "CERTIFICATE", raw)
	secret, err := x509.MarshalECPrivateKey(key)
	assert.NilError(a.t, err)
	a.write("instance.key", "EC PRIVATE KEY", secret)
	return setup.Keys{
		Certificate: filepath.Join(a.dir, "instance.pem"), Key: filepath.Join(a.dir, "instance.key"), Authority: filepath.Join(a.dir, "authority.pem"),
	}
}

// statusHandler responds only to status calls.
type statusHandler struct{ link.Handler }

func (statusHandler) Status(context.Context, *link.StatusRequest) (*link.StatusReply, error) {
	return &link.StatusReply{Instance: "server"}, nil
}

func TestPeersAuthenticateAndCertificatesAreReloaded(t *testing.T) {
	files := newAuthority(t)
	certs, err := loadCertificates(files.issue(2))
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, err := link.NewServer(statusHandler{})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = server.Serve(ctx, certs.wrapListener(listener)) }()
	t.Cleanup(func() { cancel(); <-server.Done() })
	call := func(keys *tls.Config) error {
		limit, stop := context.WithTimeout(ctx, 10*time.Second)
		defer stop()
		client := link.NewClient(keys)
		defer func() { _ = client.Close() }()
		_, err := client.Status(limit, listener.Addr().String(), &link.StatusRequest{})
		return err
	}
	assert.NilError(t, call(certs.clientConfig()))

	foreign, err := loadCertificates(newAuthority(t).issue(3))
	assert.NilError(t, err)
	assert.Equal(t, call(foreign.clientConfig()) != nil, true, "a certificate of another authority is refused")

	files.issue(9)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(certs.files.Certificate, later, later))
	renewed, err := certs.current()
	assert.NilError(t, err)
	leaf, err := x509.ParseCertificate(renewed.Certificate[0])
	assert.NilError(t, err)
	assert.Equal(t, leaf.SerialNumber.Int64(), int64(9))
	assert.NilError(t, call(certs.clientConfig()), "the new certificate is in use without a restart")

	assert.NilError(t, os.WriteFile(certs.files.Certificate, []byte("broken"), 0o600))
	kept, err := certs.current()
	assert.NilError(t, err)
	assert.Equal(t, kept == renewed, true, "with an invalid file the last valid certificate stays in use")
}
