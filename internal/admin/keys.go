package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/strictyaml"
)

// Rights of a key.
const (
	// RightRead lets a key read everything.
	RightRead = "read"
	// RightAdmin lets a key do everything.
	RightAdmin = "admin"
	// customerRightPrefix starts the right to act for the customer named after it.
	customerRightPrefix = "customer:"
)

// fileCheckInterval is the least time between two looks at the file of keys.
const fileCheckInterval = time.Second

// keyFile is the file of keys.
type keyFile struct {
	Keys []keyEntry `yaml:"keys" validate:"required,min=1,dive"`
}

// keyEntry is one key.
type keyEntry struct {
	// Name tells in the history who made a change.
	Name string `yaml:"name" validate:"required,max=63"`
	// SHA256 is the digest of the key in hexadecimal.
	SHA256 string `yaml:"sha256" validate:"required,len=64,hexadecimal"`
	// Rights are "read", "customer:<name>" and "admin".
	Rights []string `yaml:"rights" validate:"required,min=1"`
	// Expires is a time in RFC 3339 after which the key is refused; empty means never.
	Expires string `yaml:"expires" validate:"omitempty,datetime=2006-01-02T15:04:05Z07:00"`
}

// Identity is who sent a request.
type Identity struct {
	Name string
	// Customer is set when the key acts for one customer only.
	Customer string
	canRead  bool
	isAdmin  bool
}

// mayReadAll reports whether the whole environment may be read.
func (i Identity) mayReadAll() bool { return i.canRead || i.isAdmin }

type apiKey struct {
	digest   [sha256.Size]byte
	identity Identity
	expires  time.Time
}

// Keys are the keys of the API. The file is read again when it changes.
type Keys struct {
	path string
	log  zerolog.Logger

	mu        sync.Mutex
	keys      []apiKey
	modTime   time.Time
	size      int64
	checkedAt time.Time
}

// LoadKeys reads the file of keys. The error names every fault by line.
func LoadKeys(path string, log zerolog.Logger) (*Keys, error) {
	k := &Keys{path: path, log: log}
	if err := k.readFile(); err != nil {
		return nil, err
	}
	return k, nil
}

// Identify returns who a bearer key belongs to. The second result is false for
// an unknown or expired key. All keys are compared in constant time.
func (k *Keys) Identify(bearer string) (Identity, bool) {
	digest := sha256.Sum256([]byte(bearer))
	now := time.Now()
	var found Identity
	matched := false
	for _, candidate := range k.currentKeys(now) {
		equal := subtle.ConstantTimeCompare(candidate.digest[:], digest[:]) == 1
		valid := candidate.expires.IsZero() || now.Before(candidate.expires)
		if equal && valid {
			found, matched = candidate.identity, true
		}
	}
	return found, matched
}

// currentKeys returns the keys after a look at the file.
func (k *Keys) currentKeys(now time.Time) []apiKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.checkedAt) < fileCheckInterval {
		return k.keys
	}
	k.checkedAt = now
	info, err := os.Stat(k.path)
	if err != nil || info.ModTime().Equal(k.modTime) && info.Size() == k.size {
		return k.keys
	}
	if err := k.readFile(); err != nil {
		eventKeysFailed.Log(&k.log).Err(err).Send()
		return k.keys
	}
	eventKeysReloaded.Log(&k.log).Int("keys", len(k.keys)).Send()
	return k.keys
}

func (k *Keys) readFile() error {
	info, err := os.Stat(k.path)
	if err != nil {
		return eris.Wrap(err, "file of keys")
	}
	k.modTime, k.size = info.ModTime(), info.Size()
	data, err := os.ReadFile(k.path)
	if err != nil {
		return eris.Wrap(err, "file of keys")
	}
	keys, err := parseKeys(data)
	if err != nil {
		return eris.Wrapf(err, "file of keys %s", k.path)
	}
	k.keys = keys
	return nil
}

func parseKeys(data []byte) ([]apiKey, error) {
	var file keyFile
	source, faults := strictyaml.Decode(data, &file)
	faults = append(faults, source.Validate(strictyaml.NewValidator(), &file)...)
	if err := faults.Err(); err != nil {
		return nil, err
	}
	keys := make([]apiKey, len(file.Keys))
	for i, entry := range file.Keys {
		parsed, err := parseKey(entry)
		if err != nil {
			return nil, eris.Wrapf(err, "key %s", entry.Name)
		}
		keys[i] = parsed
	}
	return keys, nil
}

func parseKey(entry keyEntry) (apiKey, error) {
	k := apiKey{identity: Identity{Name: entry.Name}}
	digest, err := hex.DecodeString(entry.SHA256)
	if err != nil {
		return apiKey{}, err
	}
	copy(k.digest[:], digest)
	if entry.Expires != "" {
		if k.expires, err = time.Parse(time.RFC3339, entry.Expires); err != nil {
			return apiKey{}, err
		}
	}
	if len(entry.Rights) > 1 && slices.ContainsFunc(entry.Rights, isCustomerRight) {
		return apiKey{}, errors.New("a key of one customer has no other right")
	}
	for _, right := range entry.Rights {
		if err := k.identity.addRight(right); err != nil {
			return apiKey{}, err
		}
	}
	return k, nil
}

func isCustomerRight(right string) bool { return strings.HasPrefix(right, customerRightPrefix) }

func (i *Identity) addRight(right string) error {
	customer, isCustomer := strings.CutPrefix(right, customerRightPrefix)
	switch {
	case right == RightRead:
		i.canRead = true
	case right == RightAdmin:
		i.isAdmin = true
	case isCustomer && customer != "":
		i.Customer = customer
	default:
		return errors.New("rights are read, admin and customer:<name>")
	}
	return nil
}

// HashKey returns the digest of a key as it stands in the file of keys.
func HashKey(bearer string) string {
	digest := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(digest[:])
}
