package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// FaultPath is the HTTP path to set faults: PUT with the form values
// down=true|false, slow=duration and lose=count.
const FaultPath = "/-/faults"

// faults is the set of faults injected into one service.
type faults struct {
	mu   sync.Mutex
	down bool
	// latency is added to every request.
	latency time.Duration
	// dropResponses is the number of changes left whose response is dropped.
	dropResponses int
}

// setFromForm sets the faults that the form values name; the others remain
// unchanged.
func (f *faults) setFromForm(r *http.Request) error {
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
		f.latency = d
	}
	if v := r.FormValue("lose"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return err
		}
		f.dropResponses = n
	}
	return nil
}

func (f *faults) current() (down bool, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.latency
}

// takeDroppedResponse reports whether to drop the response to a change, and
// counts it.
func (f *faults) takeDroppedResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropResponses == 0 {
		return false
	}
	f.dropResponses--
	return true
}

// middleware applies the faults to an HTTP service. If a response is dropped, the
// request takes effect and the connection is then aborted.
func (f *faults) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == FaultPath {
			if err := f.setFromForm(r); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
			return
		}
		down, latency := f.current()
		if !delay.Sleep(r.Context(), latency) {
			return
		}
		if down {
			panic(http.ErrAbortHandler)
		}
		if r.Method == http.MethodGet || r.Method == http.MethodHead || !f.takeDroppedResponse() {
			next.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(discardResponseWriter{}, r)
		panic(http.ErrAbortHandler)
	})
}

// discardResponseWriter is an http.ResponseWriter that discards the response.
type discardResponseWriter struct{}

func (discardResponseWriter) Header() http.Header         { return http.Header{} }
func (discardResponseWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponseWriter) WriteHeader(int)             {}
