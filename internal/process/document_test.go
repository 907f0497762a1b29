package process

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/environment/environmenttest"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/rollout"
	"github.com/rattancove/rattancove/internal/settings"
)

// installRevision puts a large document in force with a revision. Revision zero is
// the bootstrap document.
func installRevision(t *testing.T, p *Process, revision int) {
	t.Helper()
	data := environmenttest.WithSlots(300, revision+1)
	if revision == 0 {
		if err := p.Documents.Bootstrap(data); err != nil {
			t.Fatal(err)
		}
		return
	}
	changes, stop := p.Documents.Subscribe()
	defer stop()
	<-changes // Subscribe reports the document in force first
	v := rollout.Version{Revision: uint64(revision), Digest: environment.Digest(data)}
	p.Documents.Offer("proxy/entry-9", v, func(context.Context) ([]byte, error) { return data, nil })
	<-changes
}

// TestPeersSendOnlyMissingPieces fetches a document as a process without one, as a
// process whose document the peer knows, and as one whose document it does not know.
func TestPeersSendOnlyMissingPieces(t *testing.T) {
	holder, requester := newTestProcess(t, settings.TLS{}), newTestProcess(t, settings.TLS{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- holder.Documents.Run(ctx) }()
	installRevision(t, holder, 0)
	installRevision(t, holder, 1)
	newest := holder.Documents.Current()

	log := zerolog.Nop()
	server, err := peer.NewServer(peer.Handlers{Document: holder.handleDocument}, &log)
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ctx, l) }()

	fetch := func(what string) {
		t.Helper()
		data, err := requester.fetchDocument(ctx, l.Addr().String(), 1)
		if err != nil || !bytes.Equal(data, newest.Text.Bytes()) {
			t.Errorf("%s: %d bytes, %v", what, len(data), err)
		}
	}
	fetch("without a document")
	installRevision(t, requester, 0)
	fetch("with the previous document")
	for what, c := range map[string]struct {
		base   string
		pieces int
		full   bool
	}{
		"before":  {requester.Documents.Current().Version.Digest, 1, false},
		"unknown": {environment.Digest(nil), 0, true},
		"earlier": {"", 0, true}, // a program version that does not send the digest of its document
	} {
		reply, err := holder.handleDocument(ctx, &peerpb.DocumentRequest{Environment: "cotopaxi", BaseDigest: c.base})
		if err != nil || len(reply.GetPieces()) != c.pieces || (len(reply.GetDocument()) > 0) != c.full || (len(reply.GetManifest()) > 0) == c.full {
			t.Errorf("%s: %d pieces, %d bytes, %v", what, len(reply.GetPieces()), len(reply.GetDocument()), err)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
