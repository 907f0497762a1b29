package platform

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rattancove/rattancove/internal/provider"
)

// VMList serves the list of VMs over HTTP: GET returns it, PUT replaces it.
type VMList struct {
	faults faults
	mu     sync.Mutex
	vms    []provider.VM
}

// NewVMList returns a VMList with the given VMs.
func NewVMList(vms ...provider.VM) *VMList { return &VMList{vms: vms} }

// Set replaces the list.
func (v *VMList) Set(vms ...provider.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.vms = vms
}

// Handler returns the HTTP handler of the service.
func (v *VMList) Handler() http.Handler { return v.faults.middleware(http.HandlerFunc(v.serveHTTP)) }

func (v *VMList) serveHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		v.mu.Lock()
		defer v.mu.Unlock()
		vms := v.vms
		if vms == nil {
			vms = []provider.VM{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(vms)
	case http.MethodPut:
		var vms []provider.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		v.Set(vms...)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
