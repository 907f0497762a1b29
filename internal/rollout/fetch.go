package rollout

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
)

const (
	// maxOffersPerVersion limits the number of offers kept for one version.
	maxOffersPerVersion = 3
	// peerFetchTimeout limits one fetch from a peer.
	peerFetchTimeout = 2 * time.Second
	// hedgeDelay is the time without a response after which the next peer is asked
	// as well.
	hedgeDelay    = 250 * time.Millisecond
	minFetchRetry = 100 * time.Millisecond
	maxFetchRetry = 5 * time.Second
)

// runFetch fetches newer versions until ctx ends.
func (w *Watcher) runFetch(ctx context.Context) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = minFetchRetry, maxFetchRetry
	for {
		v, missing := w.State().VersionToFetch()
		if !missing {
			policy.Reset()
			if err := w.awaitWake(ctx, nil); err != nil {
				return err
			}
			continue
		}
		err := w.fetchVersion(ctx, v)
		if err == nil {
			policy.Reset()
			continue
		}
		fetchFailures.Inc()
		eventDocumentFetchFailed.Log(&w.log).Err(err).Uint64("revision", v.Revision).Send()
		if err := w.awaitWake(ctx, time.After(policy.NextBackOff())); err != nil {
			return err
		}
	}
}

// awaitWake returns nil when a version or an offer has become known or when the
// timer fires, and the error of ctx when it ends.
func (w *Watcher) awaitWake(ctx context.Context, timer <-chan time.Time) error {
	select {
	case <-w.wake:
		return nil
	case <-timer:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fetchVersion fetches v from a peer that offered it or else from the object
// store, and installs it.
func (w *Watcher) fetchVersion(ctx context.Context, v Version) error {
	if w.fetchFromPeers(ctx, v) {
		return nil
	}
	var base environment.SplitText
	if inForce := w.Current(); inForce != nil {
		base = inForce.Text
	}
	data, err := w.source.Update(ctx, w.config.Environment, v.Digest, base)
	if err != nil {
		return err
	}
	storeFetches.Inc()
	return w.install(v, data)
}

// takeOffers returns and removes the offers of v.
func (w *Watcher) takeOffers(v Version) []FetchFunc {
	w.mu.Lock()
	defer w.mu.Unlock()
	offers := w.offers[v]
	delete(w.offers, v)
	return offers
}

// fetchFromPeers reports whether a valid document was received from a peer. The
// fetches are hedged: the next peer is asked in parallel when the previous one
// has not answered within hedgeDelay, or when a further peer offers the version
// meanwhile.
func (w *Watcher) fetchFromPeers(ctx context.Context, v Version) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	offers := w.takeOffers(v)
	answers := make(chan []byte)
	pending := 0
	for len(offers) > 0 || pending > 0 {
		var hedge <-chan time.Time
		if len(offers) > 0 {
			go fetchFromPeer(ctx, offers[0], answers)
			offers = offers[1:]
			pending++
			hedge = time.After(hedgeDelay)
		}
		select {
		case data := <-answers:
			pending--
			if data != nil && w.install(v, data) == nil {
				peerFetches.Inc()
				return true
			}
		case <-w.wake:
			defer w.wakeFetch() // the wake-up may have been for a newer version
			offers = append(offers, w.takeOffers(v)...)
		case <-hedge:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// fetchFromPeer sends the peer's response to answers; nil if the fetch fails.
func fetchFromPeer(ctx context.Context, fetch FetchFunc, answers chan<- []byte) {
	callCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	data, err := fetch(callCtx)
	if err != nil {
		data = nil
	}
	select {
	case answers <- data:
	case <-ctx.Done():
	}
}

// install verifies and parses the document and puts it in force unless the one in
// force is as new or newer.
func (w *Watcher) install(v Version, data []byte) error {
	if environment.Digest(data) != v.Digest {
		return eris.Wrapf(document.ErrDigest, "revision %d", v.Revision)
	}
	text := environment.Split(data)
	parsed, err := w.source.Parser().ParseSplit(text)
	if err != nil {
		return eris.Wrapf(err, "revision %d", v.Revision)
	}
	if w.putInForce(&DocumentInForce{Version: v, Document: parsed, Text: text}) {
		installs.Inc()
		eventDocumentInForce.Log(&w.log).Uint64("revision", v.Revision).Str("digest", v.Digest).Send()
	}
	return nil
}

// putInForce replaces the document in force and notifies the subscribers under one
// lock, so that they receive revisions in order. It returns false if the document in
// force is as new or newer.
func (w *Watcher) putInForce(next *DocumentInForce) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inForce != nil && next.Version.Revision <= w.inForce.Version.Revision {
		return false
	}
	w.retain(w.inForce)
	w.inForce = next
	w.state = Decide(w.state, Installed{Version: next.Version})
	for v := range w.offers {
		if v.Revision <= next.Version.Revision {
			delete(w.offers, v)
		}
	}
	for c := range w.subscribers {
		select {
		case <-c:
		default:
		}
		c <- next
	}
	return true
}
