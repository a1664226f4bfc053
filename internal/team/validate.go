package team

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/nutmegroute/nutmegroute/internal/validate"
)

// MaxKeys bounds the API keys of one team.
const MaxKeys = 64

// WithDefaults returns a copy of t in which an unset Weight is DefaultWeight. No
// other field has a default.
func (t Team) WithDefaults() Team {
	if t.Weight == 0 {
		t.Weight = DefaultWeight
	}
	return t
}

// Validate checks t with its defaults applied. It returns a *validate.Error with
// the JSON name of the first invalid field.
func (t *Team) Validate() error {
	d := t.WithDefaults()
	err := validate.FirstError(
		validate.Name("name", d.Name),
		validate.Range("weight", d.Weight, MinWeight, MaxWeight),
	)
	if err != nil {
		return err
	}
	if len(d.KeyHashes) > MaxKeys {
		return validate.Errorf("key_hashes", "must not exceed %d entries", MaxKeys)
	}
	seen := make(map[string]bool, len(d.KeyHashes))
	for _, hash := range d.KeyHashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != hash {
			return validate.Errorf("key_hashes", "%q is not a SHA-256 digest in lower-case hexadecimal", hash)
		}
		if seen[hash] {
			return validate.Errorf("key_hashes", "%q is listed twice", hash)
		}
		seen[hash] = true
	}
	return nil
}
