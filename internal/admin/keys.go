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
	// RightRead allows a key to read everything.
	RightRead = "read"
	// RightAdmin allows a key to do everything.
	RightAdmin = "admin"
	// customerRightPrefix is followed by the name of the customer for which the key
	// may act.
	customerRightPrefix = "customer:"
)

// fileCheckInterval is the minimum time between two checks of the key file for
// changes.
const fileCheckInterval = time.Second

// keyFile is the content of the key file.
type keyFile struct {
	Keys []keyEntry `yaml:"keys" validate:"required,min=1,dive"`
}

// keyEntry is one key in the key file.
type keyEntry struct {
	// Name identifies the key in the change history.
	Name string `yaml:"name" validate:"required,max=63"`
	// SHA256 is the digest of the key in hexadecimal.
	SHA256 string `yaml:"sha256" validate:"required,len=64,hexadecimal"`
	// Rights are "read", "customer:<name>" and "admin".
	Rights []string `yaml:"rights" validate:"required,min=1"`
	// Expires is the time in RFC 3339 after which the key is refused; empty means that
	// it does not expire.
	Expires string `yaml:"expires" validate:"omitempty,datetime=2006-01-02T15:04:05Z07:00"`
}

// Identity is the authenticated sender of a request.
type Identity struct {
	Name string
	// Customer is set if the key may act for one customer only.
	Customer string
	canRead  bool
	isAdmin  bool
}

// mayReadAll reports whether the sender may read the whole environment.
func (i Identity) mayReadAll() bool { return i.canRead || i.isAdmin }

type apiKey struct {
	digest   [sha256.Size]byte
	identity Identity
	expires  time.Time
}

// Keys holds the keys of the API. The key file is reloaded when it changes.
type Keys struct {
	path string
	log  zerolog.Logger

	mu        sync.Mutex
	keys      []apiKey
	modTime   time.Time
	size      int64
	checkedAt time.Time
}

// LoadKeys reads the key file. The error lists every fault with its line.
func LoadKeys(path string, log zerolog.Logger) (*Keys, error) {
	k := &Keys{path: path, log: log}
	if err := k.readFile(); err != nil {
		return nil, err
	}
	return k, nil
}

// Identify returns the identity of a bearer key. The second result is false if the
// key is unknown or has expired. All keys are compared in constant time.
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

// currentKeys reloads the key file if it has changed, at most once per
// fileCheckInterval, and returns the keys. If the file cannot be read or is invalid,
// the previous keys remain in use.
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
		return eris.Wrap(err, "stat key file")
	}
	k.modTime, k.size = info.ModTime(), info.Size()
	data, err := os.ReadFile(k.path)
	if err != nil {
		return eris.Wrap(err, "read key file")
	}
	keys, err := parseKeys(data)
	if err != nil {
		return eris.Wrapf(err, "parse key file %s", k.path)
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
		return apiKey{}, errors.New("a key with a customer right must not have other rights")
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
		return errors.New("unknown right: want read, admin or customer:<name>")
	}
	return nil
}

// HashKey returns the digest of a key in the format of the key file.
func HashKey(bearer string) string {
	digest := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(digest[:])
}
