package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// minSecretBytes is the minimum length of the shared secret. A random secret of
// this length has 128 bits.
const minSecretBytes = 16

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func parseName(s string) (string, error) {
	if !namePattern.MatchString(s) {
		return "", fmt.Errorf("%q is not a name: 1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit", s)
	}
	return s, nil
}

func parseNonEmpty(s string) (string, error) {
	if s == "" {
		return "", errors.New("is empty")
	}
	return s, nil
}

// parseOneOf returns a parser that accepts one of the allowed values.
func parseOneOf[T ~string](allowed ...T) func(string) (T, error) {
	return func(s string) (T, error) {
		if slices.Contains(allowed, T(s)) {
			return T(s), nil
		}
		return "", fmt.Errorf("%q is not one of %v", s, allowed)
	}
}

// parseListenAddress accepts IP:port and :port. With port 0 the operating
// system assigns a free port.
func parseListenAddress(s string) (string, error) {
	if port, ok := strings.CutPrefix(s, ":"); ok {
		if _, err := strconv.ParseUint(port, 10, 16); err == nil {
			return s, nil
		}
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return "", fmt.Errorf("%q is not IP:port or :port", s)
	}
	return a.String(), nil
}

// parsePeerAddress accepts an IP:port that peers can connect to: not an
// unspecified or multicast address, and not port 0.
func parsePeerAddress(s string) (string, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return "", fmt.Errorf("%q is not IP:port", s)
	}
	if a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		return "", fmt.Errorf("%q is not an address that peers can connect to", s)
	}
	return a.String(), nil
}

// parsePeerAddresses accepts a comma-separated list of peer addresses, which
// may be empty.
func parsePeerAddresses(s string) ([]string, error) {
	if s == "" {
		return nil, nil
	}
	var list []string
	for part := range strings.SplitSeq(s, ",") {
		a, err := parsePeerAddress(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

// parseBaseURL accepts an http or https URL with a host and an optional port.
// The result has no trailing slash.
func parseBaseURL(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" {
		return "", fmt.Errorf("%q is not an http or https URL", s)
	}
	if u.User != nil || strings.Trim(u.Path, "/") != "" || strings.ContainsAny(s, "?#") {
		return "", fmt.Errorf("%q has more than a scheme, host and port", s)
	}
	return u.Scheme + "://" + u.Host, nil
}

// parseNumericURL accepts a base URL whose host is a numeric IP address.
func parseNumericURL(s string) (string, error) {
	base, err := parseBaseURL(s)
	if err != nil {
		return "", err
	}
	u, err := url.Parse(base)
	if err != nil {
		return "", fmt.Errorf("%q is not an http or https URL", s)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "", fmt.Errorf("the host of %q is not a numeric IP address", s)
	}
	return base, nil
}

// parseDuration returns a parser for durations in Go's syntax from low to high.
func parseDuration(low, high time.Duration) func(string) (time.Duration, error) {
	return func(s string) (time.Duration, error) {
		d, err := time.ParseDuration(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 250ms, 2s or 10m", s)
		}
		if d < low || d > high {
			return 0, fmt.Errorf("%s is outside the range %s to %s", s, low, high)
		}
		return d, nil
	}
}

// parseCount returns a parser for integers from low to high.
func parseCount(low, high int) func(string) (int, error) {
	return func(s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil {
			return 0, fmt.Errorf("%q is not an integer", s)
		}
		if n < low || n > high {
			return 0, fmt.Errorf("%d is outside the range %d to %d", n, low, high)
		}
		return n, nil
	}
}

// parseSize returns a parser for sizes from low to high bytes. A number without
// one of the suffixes KiB, MiB and GiB is in bytes.
func parseSize(low, high int) func(string) (int, error) {
	return func(s string) (int, error) {
		digits, unit := s, 1
		for _, u := range []struct {
			suffix string
			bytes  int
		}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}} {
			if rest, ok := strings.CutSuffix(s, u.suffix); ok {
				digits, unit = strings.TrimSpace(rest), u.bytes
			}
		}
		n, err := strconv.Atoi(digits)
		if err != nil {
			return 0, fmt.Errorf("%q is not a size such as 65536, 64 KiB or 1 MiB", s)
		}
		if n < 0 || n > high/unit || n*unit < low {
			return 0, fmt.Errorf("%s is outside the range of %d to %d bytes", s, low, high)
		}
		return n * unit, nil
	}
}

// parseSecret accepts a shared secret. Its error doesn't contain the value, so
// that the secret doesn't appear in logs.
func parseSecret(s string) (Secret, error) {
	if len(s) < minSecretBytes {
		return "", fmt.Errorf("the secret is shorter than %d bytes", minSecretBytes)
	}
	return Secret(s), nil
}

// parseDigest accepts a SHA-256 digest and returns it in lower case.
func parseDigest(s string) (string, error) {
	if b, err := hex.DecodeString(s); err != nil || len(b) != 32 {
		return "", errors.New("is not a SHA-256 digest of 64 hexadecimal digits")
	}
	return strings.ToLower(s), nil
}
