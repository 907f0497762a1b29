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

// maxObjectBytes is the maximum size of an object.
const maxObjectBytes = 64 << 20

// ObjectStore is an in-memory object store. It implements the part of S3 that a
// client needs to create buckets and to put, get, head and delete objects. It
// does not verify signatures.
type ObjectStore struct {
	faults  faults
	mu      sync.Mutex
	buckets map[string]bool
	objects map[string]storedObject
}

type storedObject struct {
	data       []byte
	etag       string
	modifiedAt time.Time
}

// NewObjectStore returns a store with the given empty buckets.
func NewObjectStore(buckets ...string) *ObjectStore {
	store := &ObjectStore{buckets: map[string]bool{}, objects: map[string]storedObject{}}
	for _, b := range buckets {
		store.buckets[b] = true
	}
	return store
}

// Handler returns the HTTP handler of the service.
func (o *ObjectStore) Handler() http.Handler {
	return o.faults.middleware(http.HandlerFunc(o.serveHTTP))
}

func (o *ObjectStore) serveHTTP(w http.ResponseWriter, r *http.Request) {
	bucket, key, _ := strings.Cut(strings.Trim(r.URL.Path, "/"), "/")
	if key == "" {
		o.handleBucket(w, r, bucket)
		return
	}
	switch r.Method {
	case http.MethodPut:
		o.handlePut(w, r, bucket, key)
	case http.MethodGet, http.MethodHead:
		o.handleGet(w, r, bucket+"/"+key)
	case http.MethodDelete:
		o.mu.Lock()
		delete(o.objects, bucket+"/"+key)
		o.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		writeS3Error(w, http.StatusMethodNotAllowed, "MethodNotAllowed")
	}
}

func (o *ObjectStore) handleBucket(w http.ResponseWriter, r *http.Request, bucket string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case r.Method == http.MethodPut:
		o.buckets[bucket] = true
	case r.URL.Query().Has("location"):
		_, _ = io.WriteString(w, xml.Header+`<LocationConstraint xmlns="http://s3.amazonaws.com/doc/2006-03-01/"></LocationConstraint>`)
	case !o.buckets[bucket]:
		writeS3Error(w, http.StatusNotFound, "NoSuchBucket")
	}
}

func (o *ObjectStore) handlePut(w http.ResponseWriter, r *http.Request, bucket, key string) {
	data, err := readBody(r)
	if err != nil {
		writeS3Error(w, http.StatusBadRequest, "IncompleteBody")
		return
	}
	sum := md5.Sum(data)
	stored := storedObject{data: data, etag: `"` + hex.EncodeToString(sum[:]) + `"`, modifiedAt: time.Now()}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.buckets[bucket] {
		writeS3Error(w, http.StatusNotFound, "NoSuchBucket")
		return
	}
	if _, exists := o.objects[bucket+"/"+key]; exists && r.Header.Get("If-None-Match") == "*" {
		writeS3Error(w, http.StatusPreconditionFailed, "PreconditionFailed")
		return
	}
	o.objects[bucket+"/"+key] = stored
	w.Header().Set("ETag", stored.etag)
}

func (o *ObjectStore) handleGet(w http.ResponseWriter, r *http.Request, objectPath string) {
	o.mu.Lock()
	stored, ok := o.objects[objectPath]
	o.mu.Unlock()
	if !ok {
		writeS3Error(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	w.Header().Set("ETag", stored.etag)
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", stored.modifiedAt, bytes.NewReader(stored.data))
}

func writeS3Error(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s<Error><Code>%s</Code><Message>%s</Message></Error>", xml.Header, code, code)
}

var errTooLarge = errors.New("object exceeds the maximum size")

// readBody reads a request body, either plain or in signed chunks.
func readBody(r *http.Request) ([]byte, error) {
	body := io.LimitReader(r.Body, maxObjectBytes+1)
	if !strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		data, err := io.ReadAll(body)
		if err == nil && len(data) > maxObjectBytes {
			err = errTooLarge
		}
		return data, err
	}
	return readSignedChunks(bufio.NewReader(body))
}

// readSignedChunks reads chunks of the form size;extensions CRLF data CRLF up to a
// chunk of size 0. It ignores trailers.
func readSignedChunks(body *bufio.Reader) ([]byte, error) {
	var data []byte
	for {
		line, err := body.ReadString('\n')
		if err != nil {
			return nil, err
		}
		hexSize, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		size, err := strconv.ParseUint(hexSize, 16, 32)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			return data, nil
		}
		if len(data)+int(size) > maxObjectBytes {
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
