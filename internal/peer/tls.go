package peer

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrNoCertificates is returned for a CA file without a certificate.
var ErrNoCertificates = errors.New("peer: no certificate in the CA file")

// LoadTLS builds the TLS configuration for peer connections from PEM files. Both
// ends of a connection present certificates and verify each other's certificate
// against the CA file, or against the system's root certificates if caFile is
// empty. LoadTLS returns ErrNoCertificates or the error of reading or parsing a
// file.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
		// WebSocket needs HTTP/1.1.
		NextProtos: []string{"http/1.1"},
	}
	if caFile == "" {
		return config, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%w: %s", ErrNoCertificates, caFile)
	}
	config.RootCAs, config.ClientCAs = pool, pool
	return config, nil
}
