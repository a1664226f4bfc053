package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeCertificate writes a self-signed certificate for 127.0.0.1 and its key.
func writeCertificate(t *testing.T, dir, name string) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	write := func(file, kind string, data []byte) string {
		path := filepath.Join(dir, file)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
		return path
	}
	return write(name+".crt", "CERTIFICATE", der), write(name+".key", "EC PRIVATE KEY", keyDER)
}

// Guards against connections in clear text and against connections with a
// process whose certificate is not signed by the deployment's CA.
func TestPeersCheckEachOthersCertificates(t *testing.T) {
	dir := t.TempDir()
	cert, key := writeCertificate(t, dir, "member")
	otherCert, otherKey := writeCertificate(t, dir, "untrusted")
	member, err := LoadTLS(cert, key, cert)
	assert.NilError(t, err)
	untrusted, err := LoadTLS(otherCert, otherKey, cert)
	assert.NilError(t, err)

	server := NewNode(Hello{Role: RoleSidecar, ID: "server"}, newRecorder(), func() uint64 { return 1 }, Options{Secret: "s", TLS: member})
	listener, err := tls.Listen("tcp", "127.0.0.1:0", member)
	assert.NilError(t, err)
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: time.Second}
	go func() { _ = httpServer.Serve(listener) }()
	t.Cleanup(func() { server.Close(); _ = httpServer.Close() })

	for name, test := range map[string]struct {
		config *tls.Config
		ok     bool
	}{"member": {member, true}, "untrusted": {untrusted, false}, "clear text": {nil, false}} {
		client := NewNode(Hello{Role: RoleEntry, ID: name}, newRecorder(), func() uint64 { return 1 }, Options{Secret: "s", TLS: test.config})
		_, err := client.Dial(testContext(t), listener.Addr().String())
		assert.Equal(t, err == nil, test.ok, "%s: %v", name, err)
		client.Close()
	}
}
