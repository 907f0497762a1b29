package platform

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/rattancove/rattancove/internal/provider"
)

// VMs serves the list of VMs: GET reads it, PUT replaces it.
type VMs struct {
	faults faults
	mu     sync.Mutex
	list   []provider.VM
}

// NewVMs returns a list of the given VMs.
func NewVMs(list ...provider.VM) *VMs { return &VMs{list: list} }

// Set replaces the list.
func (v *VMs) Set(list ...provider.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list = list
}

// Handler returns the HTTP service.
func (v *VMs) Handler() http.Handler { return v.faults.wrap(http.HandlerFunc(v.serve)) }

func (v *VMs) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		v.mu.Lock()
		defer v.mu.Unlock()
		list := v.list
		if list == nil {
			list = []provider.VM{}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	case http.MethodPut:
		var list []provider.VM
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		v.Set(list...)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}
