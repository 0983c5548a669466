package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/lentildeck/lentildeck/internal/node/setup"
)

// certificates holds a key pair that is read again when the certificate's file changes, and the authority's certificates.
type certificates struct {
	files   setup.Keys
	roots   *x509.CertPool
	mu      sync.Mutex
	modTime string
	pair    *tls.Certificate
}

// loadCertificates returns nil if the settings name no certificate, which selects plain TCP.
func loadCertificates(files setup.Keys) (*certificates, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, fmt.Errorf("keys.authority: %w", err)
	}
	k := &certificates{files: files, roots: x509.NewCertPool()}
	if !k.roots.AppendCertsFromPEM(authority) {
		return nil, &CertificateError{Path: files.Authority}
	}
	if _, err := k.current(); err != nil {
		return nil, err
	}
	return k, nil
}

// current returns the key pair, read again if the file has changed; if the new file is invalid, the old pair stays in use.
func (k *certificates) current() (*tls.Certificate, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	info, err := os.Stat(k.files.Certificate)
	if err != nil && k.pair == nil {
		return nil, fmt.Errorf("keys.certificate: %w", err)
	}
	stamp := ""
	if err == nil {
		stamp = info.ModTime().String()
	}
	if k.pair != nil && stamp == k.modTime {
		return k.pair, nil
	}
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		if k.pair != nil {
			return k.pair, nil
		}
		return nil, fmt.Errorf("keys: %w", err)
	}
	k.pair, k.modTime = &pair, stamp
	return k.pair, nil
}

// clientConfig returns the TLS configuration for calls to peers; both sides present a certificate of the same authority.
func (k *certificates) clientConfig() *tls.Config {
	if k == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: k.roots,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.current() },
	}
}

// wrapListener returns a TLS listener that requires a client certificate.
func (k *certificates) wrapListener(plain net.Listener) net.Listener {
	return tls.NewListener(plain, &tls.Config{
		MinVersion: tls.VersionTLS13, ClientCAs: k.roots, ClientAuth: tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.current() },
	})
}

// CertificateError reports that a file contains no certificate.
type CertificateError struct{ Path string }

// Error names the file.
func (e *CertificateError) Error() string { return fmt.Sprintf("%s holds no PEM certificate", e.Path) }
