// Package itemreader bounds what a decoder of a list holds. A bound on the bytes of a list alone
// is not enough: encoding/json keeps an item until it is whole, in a buffer that doubles, and
// an empty item of three bytes costs many times as much once it is decoded.
package itemreader

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong means that a list has more bytes or items than allowed, ErrItemTooLong that an item,
// or the bytes between two, are longer than allowed.
var (
	ErrTooLong     = errors.New("list is too long")
	ErrItemTooLong = errors.New("item of a list is too long")
)

// Limits bounds a list.
type Limits struct {
	// Bytes bounds the list, ItemBytes each item, and Items their number.
	Bytes, ItemBytes int64
	Items            int
}

// Reader fails when more bytes are read than its limits allow.
type Reader struct {
	source io.Reader
	limits Limits
	read   int64
	// itemBegan is the number of bytes read when the present item began.
	itemBegan int64
	items     int
}

// New returns a reader at the start of the first item.
func New(source io.Reader, l Limits) *Reader { return &Reader{source: source, limits: l} }

// EndItem ends an item, and fails if there are too many.
func (r *Reader) EndItem() error {
	r.itemBegan = r.read
	if r.items++; r.items > r.limits.Items {
		return errors.WithMessagef(ErrTooLong, "more than %d items", r.limits.Items)
	}
	return nil
}

func (r *Reader) Read(p []byte) (int, error) {
	left, itemLeft := r.limits.Bytes-r.read, r.limits.ItemBytes-(r.read-r.itemBegan)
	if left <= 0 {
		return 0, errors.WithMessagef(ErrTooLong, "more than %d bytes", r.limits.Bytes)
	}
	if itemLeft <= 0 {
		return 0, errors.WithMessagef(ErrItemTooLong, "more than %d bytes", r.limits.ItemBytes)
	}
	n, err := r.source.Read(p[:min(int64(len(p)), left, itemLeft)])
	r.read += int64(n)
	return n, err
}

// Decode decodes a JSON list, or null. It calls add with each item.
func Decode[T any](d *json.Decoder, r *Reader, add func(*T)) error {
	first, err := d.Token()
	if err != nil || first == nil {
		return err
	}
	if first != json.Delim('[') {
		return errors.Errorf("%v instead of a list", first)
	}
	for d.More() {
		item := new(T)
		if err := d.Decode(item); err != nil {
			return err
		}
		add(item)
		if err := r.EndItem(); err != nil {
			return err
		}
	}
	// The end of the list; another token can't follow the last item.
	_, err = d.Token()
	return err
}
