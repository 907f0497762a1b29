// Package httpvms is the platform's list of VMs: JSON over HTTP.
package httpvms

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/provider"
)

// maxListBytes bounds the list that is read.
const maxListBytes = 8 << 20

// List is a provider.VMList. The service answers a JSON array of objects with
// the fields address and leaving.
type List struct {
	url    string
	client *http.Client
}

var _ provider.VMList = (*List)(nil)

// Open returns a client of the list at url. It does not connect.
func Open(url string, transport http.RoundTripper) *List {
	return &List{url: url, client: &http.Client{Transport: transport}}
}

// VMs implements provider.VMList.
func (l *List) VMs(ctx context.Context) ([]provider.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "ask for the list of VMs")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "ask for the list of VMs")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("list of VMs: status %d", response.StatusCode)
	}
	var vms []provider.VM
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&vms); err != nil {
		return nil, eris.Wrap(err, "read the list of VMs")
	}
	return vms, nil
}
