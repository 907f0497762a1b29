package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// FaultPath is where faults are switched over HTTP: PUT with the form values
// down=true|false, slow=duration and lose=count.
const FaultPath = "/-/faults"

// faults are the failures that are switched on for one service.
type faults struct {
	mu   sync.Mutex
	down bool
	slow time.Duration
	lose int
}

// set switches faults from form values; absent ones stay.
func (f *faults) set(r *http.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := r.FormValue("down"); v != "" {
		f.down = v == "true"
	}
	if v := r.FormValue("slow"); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return err
		}
		f.slow = d
	}
	if v := r.FormValue("lose"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return err
		}
		f.lose = n
	}
	return nil
}

func (f *faults) state() (down bool, slow time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.slow
}

// takeLost reports whether the answer to a change is to be lost.
func (f *faults) takeLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lose == 0 {
		return false
	}
	f.lose--
	return true
}

// wrap applies the faults to an HTTP service. A lost answer ends the
// connection after the request has taken effect.
func (f *faults) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == FaultPath {
			if err := f.set(r); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
			return
		}
		down, slow := f.state()
		if !delay.Sleep(r.Context(), slow) {
			return
		}
		if down {
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodGet || r.Method == http.MethodHead || !f.takeLost() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	})
}

// discard is a response that goes nowhere.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
