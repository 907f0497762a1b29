package catalog

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/panics"
	"github.com/rattancove/rattancove/internal/provider"
)

// maxImportBytes bounds the catalog of a peer once it is decompressed: several times that
// of the largest deployment.
const maxImportBytes = 256 << 20

// gzipMagic begins a compressed catalog; the JSON text begins with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// exportedState is the state that peers exchange as JSON under the names of its
// fields. Configuration, or Servers and Covered, are empty where the peer has them.
type exportedState struct {
	// Organisations is set by processes that know the organisations of a configuration.
	Organisations bool
	Configuration *Configuration
	Servers       []Server
	// Covered holds the numbers of the versions, and Era their era. Processes of earlier
	// versions set no era.
	Covered Coverage
	Era     uint64
}

// Known holds the versions that a peer has, and the encodings that it accepts.
type Known struct {
	// Configuration and Servers are the versions as Tracker.Versions returns them.
	Configuration, Servers uint64
	// Gzip is set if the peer accepts a compressed catalog. Processes of earlier versions
	// do not.
	Gzip bool
}

// exportKey distinguishes the results of Export by what they contain.
type exportKey struct{ configuration, servers, gzip bool }

// Export returns the encoded parts of the state that are newer than what a peer has; nil
// if none is, and while there is no configuration. The result must not be modified.
func (t *Tracker) Export(known Known) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := exportKey{t.version() > known.Configuration, t.coverage.Latest > known.Servers, known.Gzip}
	if t.configuration == nil || !key.configuration && !key.servers {
		return nil, nil
	}
	if data, ok := t.exports[key]; ok {
		return data, nil
	}
	data, err := encodeExport(t.exportedState(key), key.gzip)
	if err != nil {
		return nil, err
	}
	t.exports[key] = data
	return data, nil
}

// exportedState returns the parts of the state that key selects. The caller holds the lock.
func (t *Tracker) exportedState(key exportKey) exportedState {
	out := exportedState{Organisations: true}
	if key.configuration {
		out.Configuration = t.configuration
	}
	if !key.servers {
		return out
	}
	out.Era, out.Covered.Complete = provider.SplitVersion(t.coverage.Complete)
	_, out.Covered.Latest = provider.SplitVersion(t.coverage.Latest)
	for id, s := range t.servers {
		if _, missing := t.missingSince[id]; !missing {
			out.Servers = append(out.Servers, s)
		}
	}
	slices.SortFunc(out.Servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func encodeExport(out exportedState, compress bool) ([]byte, error) {
	data, err := json.Marshal(out)
	if err != nil {
		return nil, eris.Wrap(err, "encode catalog")
	}
	if !compress {
		return data, nil
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	_, err = writer.Write(data)
	if err = errors.Join(err, writer.Close()); err != nil {
		return nil, eris.Wrap(err, "compress catalog")
	}
	return compressed.Bytes(), nil
}

func decodeExport(data []byte) (exportedState, error) {
	var in exportedState
	if bytes.HasPrefix(data, gzipMagic) {
		reader, err := gzip.NewReader(bytes.NewReader(data))
		if err == nil {
			data, err = io.ReadAll(io.LimitReader(reader, maxImportBytes))
		}
		if err != nil {
			return in, eris.Wrap(err, "decompress catalog of a peer")
		}
	}
	return in, eris.Wrap(json.Unmarshal(data, &in), "decode catalog of a peer")
}

// AwaitUpdate waits up to wait until the state is newer than what a peer has and returns
// the result of Export; nil if it is not.
func (t *Tracker) AwaitUpdate(ctx context.Context, known Known, wait time.Duration) ([]byte, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.Changed()
		if c, s := t.Versions(); c > known.Configuration || s > known.Servers {
			return t.Export(known)
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// ErrNoOrganisations reports the configuration of a peer of an earlier version, which
// does not pass on the organisations: a process that took it would require no keys.
var ErrNoOrganisations = errors.New("the peer does not know the organisations of the configuration")

// Import merges the state that Export returned at a peer.
func (t *Tracker) Import(data []byte) error {
	err := panics.Recover(func() error { return t.importState(data) })
	logPanic(t.log, err)
	return err
}

// Merge merges a reply of a peer. A configuration that the reply confirms is imported
// before.
func (t *Tracker) Merge(reply PeerCatalog) error {
	if len(reply.Data) > 0 {
		if err := t.Import(reply.Data); err != nil {
			return err
		}
	}
	if reply.Confirmation != (Confirmation{}) {
		t.Confirm(reply.Confirmation.Version, reply.Confirmation.At)
	}
	return nil
}

func (t *Tracker) importState(data []byte) error {
	in, err := decodeExport(data)
	if err != nil {
		return err
	}
	if complete, usable := t.PeerVersion(in.Era, in.Covered.Complete); usable {
		latest, _ := t.PeerVersion(in.Era, in.Covered.Latest)
		t.SetServers(in.Servers, Coverage{Complete: complete, Latest: latest}, OriginPeer)
	}
	if !in.Organisations && in.Configuration != nil {
		return ErrNoOrganisations
	}
	t.SetConfiguration(in.Configuration, OriginPeer)
	return nil
}
