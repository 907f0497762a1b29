// Package s3objects is a client of the platform's object store over the S3 protocol.
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
	// maxObjectBytes is the maximum size of an object that Get reads.
	maxObjectBytes = 64 << 20
	// maxRetries limits the attempts within the S3 client; callers have their own retry
	// policy.
	maxRetries = 2
	// defaultRegion avoids the request that looks up the bucket's region.
	defaultRegion = "us-east-1"
)

// Store implements provider.ObjectStore.
type Store struct {
	client *minio.Client
	bucket string
}

var _ provider.ObjectStore = (*Store)(nil)

// Open creates a client. It does not connect. The transport carries the TLS
// configuration; nil selects the default transport.
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

// Put implements provider.ObjectStore. It creates the bucket if it does not exist.
func (o *Store) Put(ctx context.Context, key string, data []byte) error {
	err := o.put(ctx, key, data)
	if minio.ToErrorResponse(err).Code == minio.NoSuchBucket {
		if err := o.client.MakeBucket(ctx, o.bucket, minio.MakeBucketOptions{}); err != nil {
			return eris.Wrap(err, "create bucket")
		}
		err = o.put(ctx, key, data)
	}
	return eris.Wrap(err, "put object")
}

// put sends the body in one part and not in signed chunks; readers verify documents
// by their digest.
func (o *Store) put(ctx context.Context, key string, data []byte) error {
	options := minio.PutObjectOptions{DisableMultipart: true, DisableContentSha256: true}
	_, err := o.client.PutObject(ctx, o.bucket, key, bytes.NewReader(data), int64(len(data)), options)
	return err
}

// Get implements provider.ObjectStore.
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
