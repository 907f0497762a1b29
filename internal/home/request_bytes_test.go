package home

import "testing"

// TestRequestBytesFollowTheMemoryLimit guards against a bound of waiting requests above the
// memory of the process.
func TestRequestBytesFollowTheMemoryLimit(t *testing.T) {
	share := int64(0)
	for _, tt := range []struct {
		name                      string
		document, share           int64
		config                    Config
		wantQueue, wantRequestsOf int64
	}{
		{"neither", 0, 0, Config{RequestBytes: func() int64 { return share }}, 0, defaultRequestBytes},
		{"no function", 0, 0, Config{}, 0, defaultRequestBytes},
		{"memory limit", 0, 1000, Config{RequestBytes: func() int64 { return share }}, 1000, 1000},
		{"document", 300, 0, Config{RequestBytes: func() int64 { return share }}, 300, 600},
		{"document below the limit", 300, 1000, Config{RequestBytes: func() int64 { return share }}, 300, 600},
		{"document above the limit", 3000, 1000, Config{RequestBytes: func() int64 { return share }}, 1000, 1000},
	} {
		share = tt.share
		o := &owner{home: &Home{config: tt.config}}
		o.limits.QueueBytes = tt.document
		if queue, requests := o.queueBytes(), o.requestBytesLimit(); queue != tt.wantQueue || requests != tt.wantRequestsOf {
			t.Errorf("%s: queue %d, requests %d", tt.name, queue, requests)
		}
	}
}
