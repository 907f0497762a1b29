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
	// maxOffers bounds the peers remembered for one version.
	maxOffers = 3
	// peerFetchTimeout bounds one fetch from a peer.
	peerFetchTimeout = 2 * time.Second
	// nextPeerAfter is the time after which another peer is asked as well.
	nextPeerAfter   = 250 * time.Millisecond
	firstFetchRetry = 100 * time.Millisecond
	maxFetchRetry   = 5 * time.Second
)

// fetch gets missing versions until ctx ends.
func (w *Watcher) fetch(ctx context.Context) error {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = firstFetchRetry, maxFetchRetry
	for {
		v, missing := w.State().Missing()
		if !missing {
			policy.Reset()
			if err := w.await(ctx, nil); err != nil {
				return err
			}
			continue
		}
		err := w.fetchOnce(ctx, v)
		if err == nil {
			policy.Reset()
			continue
		}
		fetchFailures.Inc()
		eventFetchFailed.Log(&w.log).Err(err).Uint64("revision", v.Revision).Send()
		if err := w.await(ctx, time.After(policy.NextBackOff())); err != nil {
			return err
		}
	}
}

// await returns when a version is missing, when the timer fires, or with the
// error of ctx.
func (w *Watcher) await(ctx context.Context, timer <-chan time.Time) error {
	select {
	case <-w.wake:
		return nil
	case <-timer:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// fetchOnce tries the peers that offered v and then the object store.
func (w *Watcher) fetchOnce(ctx context.Context, v Version) error {
	if w.fetchFromPeers(ctx, v) {
		return nil
	}
	var held environment.Text
	if current := w.Current(); current != nil {
		held = current.Text
	}
	data, err := w.source.Update(ctx, w.config.Environment, v.Digest, held)
	if err != nil {
		return err
	}
	storeFetches.Inc()
	return w.install(v, data)
}

// takeOffers returns the peers that have offered v since the last call.
func (w *Watcher) takeOffers(v Version) []Fetch {
	w.mu.Lock()
	defer w.mu.Unlock()
	offers := w.offers[v]
	delete(w.offers, v)
	return offers
}

// fetchFromPeers reports whether one of the peers gave the version. The next
// peer is asked at the same time when the one before has not answered soon, or
// when it offers the version meanwhile.
func (w *Watcher) fetchFromPeers(ctx context.Context, v Version) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	offers := w.takeOffers(v)
	answers := make(chan []byte)
	pending := 0
	for len(offers) > 0 || pending > 0 {
		var slow <-chan time.Time
		if len(offers) > 0 {
			go askPeer(ctx, offers[0], answers)
			offers = offers[1:]
			pending++
			slow = time.After(nextPeerAfter)
		}
		select {
		case data := <-answers:
			pending--
			if data != nil && w.install(v, data) == nil {
				peerFetches.Inc()
				return true
			}
		case <-w.wake:
			defer w.wakeFetch() // it may have been for a newer version
			offers = append(offers, w.takeOffers(v)...)
		case <-slow:
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// askPeer sends what a peer gives to answers, nil if it gives nothing in time.
func askPeer(ctx context.Context, offer Fetch, answers chan<- []byte) {
	limited, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	data, err := offer(limited)
	if err != nil {
		data = nil
	}
	select {
	case answers <- data:
	case <-ctx.Done():
	}
}

// install checks the document and puts it in force unless a newer one is.
func (w *Watcher) install(v Version, data []byte) error {
	if environment.Digest(data) != v.Digest {
		return eris.Wrapf(document.ErrDigest, "revision %d", v.Revision)
	}
	text := environment.Split(data)
	parsed, err := w.source.Parser().ParseText(text)
	if err != nil {
		return eris.Wrapf(err, "revision %d", v.Revision)
	}
	if w.putInForce(&InForce{Version: v, Document: parsed, Text: text}) {
		installs.Inc()
		eventInForce.Log(&w.log).Uint64("revision", v.Revision).Str("digest", v.Digest).Send()
	}
	return nil
}

// putInForce replaces the document and tells the subscribers in one step, so
// that they see revisions in order.
func (w *Watcher) putInForce(next *InForce) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inForce != nil && next.Version.Revision <= w.inForce.Version.Revision {
		return false
	}
	w.remember(w.inForce)
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
