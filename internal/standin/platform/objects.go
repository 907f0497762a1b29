package platform

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxObject bounds one object.
const maxObject = 64 << 20

// Objects is an object store that answers the part of S3 that a client needs
// to make buckets and to put, get, head and delete objects. It checks no
// signatures.
type Objects struct {
	faults  faults
	mu      sync.Mutex
	buckets map[string]bool
	objects map[string]object
}

type object struct {
	data    []byte
	etag    string
	written time.Time
}

// NewObjects returns a store with the given empty buckets.
func NewObjects(buckets ...string) *Objects {
	o := &Objects{buckets: map[string]bool{}, objects: map[string]object{}}
	for _, b := range buckets {
		o.buckets[b] = true
	}
	return o
}

// Handler returns the HTTP service.
func (o *Objects) Handler() http.Handler { return o.faults.wrap(http.HandlerFunc(o.serve)) }

func (o *Objects) serve(w http.ResponseWriter, r *http.Request) {
	bucket, key, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
	if key == "" {
		o.serveBucket(w, r, bucket)
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.put(w, r, bucket, key)
	case http.MethodGet, http.MethodHead:
		o.get(w, r, bucket+"/"+key)
	case http.MethodDelete:
		o.mu.Lock()
		delete(o.objects, bucket+"/"+key)
		o.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (o *Objects) serveBucket(w http.ResponseWriter, r *http.Request, bucket string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		o.buckets[bucket] = true
	case r.URL.Query().Has("location"):
		_, _ = io.WriteString(w, xml.Header+`<LocationConstraint xmlns="http://s3.amazonaws.com/doc/2006-03-01/"></LocationConstraint>`)
	case !o.buckets[bucket]:
		writeError(w, http.StatusNotFound, "NoSuchBucket")
	}
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request, bucket, key string) {
	data, err := readBody(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	sum := md5.Sum(data)
	stored := object{data: data, etag: `"` + hex.EncodeToString(sum[:]) + `"`, written: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.buckets[bucket] {
		writeError(w, http.StatusNotFound, "NoSuchBucket")
		return
	}
	if _, taken := o.objects[bucket+"/"+key]; taken && r.Header.Get("If-None-Match") == "*" {
		writeError(w, http.StatusPreconditionFailed, "PreconditionFailed")
		return
	}
	o.objects[bucket+"/"+key] = stored
	w.Header().Set("ETag", stored.etag)
}

func (o *Objects) get(w http.ResponseWriter, r *http.Request, path string) {
	o.mu.Lock()
	stored, ok := o.objects[path]
	o.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	w.Header().Set("ETag", stored.etag)
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", stored.written, bytes.NewReader(stored.data))
}

func writeError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s<Error><Code>%s</Code><Message>%s</Message></Error>", xml.Header, code, code)
}

var errTooLarge = errors.New("object too large")

// readBody reads a plain or a signed chunked body.
func readBody(r *http.Request) ([]byte, error) {
	body := io.LimitReader(r.Body, maxObject+1)
	if !strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		data, err := io.ReadAll(body)
		if err == nil && len(data) > maxObject {
			err = errTooLarge
		}
		return data, err
	}
	return readChunks(bufio.NewReader(body))
}

// readChunks reads chunks of the form size;extensions CRLF data CRLF up to the
// chunk of size zero. Trailers are ignored.
func readChunks(body *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			return nil, err
		}
		digits, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		size, err := strconv.ParseUint(digits, 16, 32)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return data, nil
		}
		if len(data)+int(size) > maxObject {
			return nil, errTooLarge
		}
		chunk := make([]byte, size)
		if _, err := io.ReadFull(body, chunk); err != nil {
			return nil, err
		}
		data = append(data, chunk...)
		if _, err := body.ReadString('\n'); err != nil {
			return nil, err
		}
	}
}
