// Package s3objects is the platform's object store over the S3 protocol.
package s3objects

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/minio/minio-go/v7"
	"github.com/minio/minio-go/v7/pkg/credentials"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/settings"
)

const (
	// maxObjectBytes bounds what Get reads.
	maxObjectBytes = 64 << 20
	// maxRetries bounds the client's own attempts; callers have their own policy.
	maxRetries = 2
	// defaultRegion saves the call that would ask for the bucket's region.
	defaultRegion = "us-east-1"
)

// Store is a provider.Objects.
type Store struct {
	client *minio.Client
	bucket string
}

var _ provider.ObjectStore = (*Store)(nil)

// Open prepares a client and does not connect. The transport carries the TLS
// configuration; it may be nil.
func Open(s settings.Objects, transport http.RoundTripper) (*Store, error) {
	region := s.Region
	if region == "" {
		region = defaultRegion
	}
	client, err := minio.New(s.Endpoint, &minio.Options{
		Creds:      credentials.NewStaticV4(s.AccessKey.Reveal(), s.SecretKey.Reveal(), ""),
		Secure:     s.TLS.Enabled(),
		Region:     region,
		Transport:  transport,
		MaxRetries: maxRetries,
	})
	if err != nil {
		return nil, eris.Wrap(err, "open object store")
	}
	return &Store{client: client, bucket: s.Bucket}, nil
}

// Put implements provider.Objects. It makes the bucket when it is missing.
func (o *Store) Put(ctx context.Context, key string, data []byte) error {
	err := o.put(ctx, key, data)
	if minio.ToErrorResponse(err).Code == minio.NoSuchBucket {
		if err := o.client.MakeBucket(ctx, o.bucket, minio.MakeBucketOptions{}); err != nil {
			return eris.Wrap(err, "make bucket")
		}
		err = o.put(ctx, key, data)
	}
	return eris.Wrap(err, "put object")
}

// put sends the body whole and not in signed chunks; readers check documents
// by their digest.
func (o *Store) put(ctx context.Context, key string, data []byte) error {
	options := minio.PutObjectOptions{DisableMultipart: true, DisableContentSha256: true}
	_, err := o.client.PutObject(ctx, o.bucket, key, bytes.NewReader(data), int64(len(data)), options)
	return err
}

// Get implements provider.Objects.
func (o *Store) Get(ctx context.Context, key string) ([]byte, error) {
	object, err := o.client.GetObject(ctx, o.bucket, key, minio.GetObjectOptions{})
	if err != nil {
		return nil, eris.Wrap(err, "get object")
	}
	defer object.Close()
	data, err := io.ReadAll(io.LimitReader(object, maxObjectBytes+1))
	switch minio.ToErrorResponse(err).Code {
	case minio.NoSuchKey, minio.NoSuchBucket:
		return nil, provider.ErrNotFound
	}
	if err != nil {
		return nil, eris.Wrap(err, "read object")
	}
	if len(data) > maxObjectBytes {
		return nil, eris.Errorf("object %s is larger than %d bytes", key, maxObjectBytes)
	}
	return data, nil
}
