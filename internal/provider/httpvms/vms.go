// Package httpvms is a client of the platform's list of VMs, which is JSON over
// HTTP.
package httpvms

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/provider"
)

// maxListBytes is the maximum size of the list. A longer response is cut there and
// fails to parse.
const maxListBytes = 8 << 20

// List implements provider.VMList. The service returns a JSON array of objects with
// the fields address and leaving.
type List struct {
	url    string
	client *http.Client
}

var _ provider.VMList = (*List)(nil)

// Open returns a client for the list at url. It does not connect.
func Open(url string, transport http.RoundTripper) *List {
	return &List{url: url, client: &http.Client{Transport: transport}}
}

// VMs implements provider.VMList.
func (l *List) VMs(ctx context.Context) ([]provider.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "request list of VMs")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "request list of VMs")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("request list of VMs: unexpected HTTP status %d", response.StatusCode)
	}
	var vms []provider.VM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, eris.Wrap(err, "decode list of VMs")
	}
	return vms, nil
}
