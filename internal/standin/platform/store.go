// Package platform is an in-memory stand-in of the platform's object API and
// of its lagging list of instances.
package platform

import (
	"errors"
	"slices"
	"sort"
	"strings"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
)

// errCondition is returned when a write's condition does not hold.
var errCondition = errors.New("condition failed")

const (
	// maxPageObjects and maxPageBytes bound one response of a list or watch.
	// The first object is always returned.
	maxPageObjects = 1000
	maxPageBytes   = 4 << 20
)

// store holds objects with a store-wide revision. It is not safe for
// concurrent use.
type store struct {
	revision uint64
	// objects also holds deleted objects, which watches report.
	objects map[string]api.Object
	// keys holds the keys of objects, sorted.
	keys []string
	// log holds a key for each revision, in order. Entries that a later write
	// to the same key supersedes are removed from time to time.
	log []logEntry
}

type logEntry struct {
	revision uint64
	key      string
}

// write creates (version 0), updates or deletes the object if its current
// version is the given one; an absent object has version 0. It returns the
// object without its value.
func (s *store) write(key string, version uint64, value []byte, deleted bool) (api.Object, error) {
	current, known := s.objects[key]
	if !known {
		current = api.Object{Key: key, Deleted: true}
	}
	matches := !current.Deleted && current.Version == version
	if version == 0 {
		matches = current.Deleted
	}
	if !matches {
		current.Value = nil
		return current, errCondition
	}
	s.revision++
	object := api.Object{Key: key, Version: s.revision, Value: value, Deleted: deleted}
	if !known {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.objects[key] = object
	s.log = append(s.log, logEntry{s.revision, key})
	if len(s.log) > 2*len(s.objects)+maxPageObjects {
		s.log = slices.DeleteFunc(s.log, func(e logEntry) bool { return s.objects[e.key].Version != e.revision })
	}
	object.Value = nil
	return object, nil
}

// list returns live objects with the prefix and a key above after, in key
// order.
func (s *store) list(prefix, after string, limit int) api.ListResponse {
	i, _ := slices.BinarySearch(s.keys, max(prefix, after))
	p := newPage(s.revision, limit)
	for ; i < len(s.keys) && strings.HasPrefix(s.keys[i], prefix); i++ {
		object := s.objects[s.keys[i]]
		if object.Key == after && after != "" || object.Deleted {
			continue
		}
		if !p.add(object) {
			break
		}
	}
	return p.ListResponse
}

// since returns objects with the prefix and a version above after, deleted
// ones included, in revision order. If the response is cut, its revision is
// that of its last object, so that a watch can always go on from the revision.
func (s *store) since(prefix string, after uint64) api.ListResponse {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].revision > after })
	p := newPage(s.revision, maxPageObjects)
	for _, e := range s.log[i:] {
		object := s.objects[e.key]
		if object.Version != e.revision || !strings.HasPrefix(e.key, prefix) {
			continue
		}
		if !p.add(object) {
			p.Revision = p.Objects[len(p.Objects)-1].Version
			break
		}
	}
	return p.ListResponse
}

type page struct {
	api.ListResponse
	limit, bytes int
}

func newPage(revision uint64, limit int) *page {
	if limit <= 0 || limit > maxPageObjects {
		limit = maxPageObjects
	}
	return &page{ListResponse: api.ListResponse{Revision: revision, Objects: []api.Object{}}, limit: limit}
}

// add appends an object. It sets More and returns false if the page is full.
func (p *page) add(o api.Object) bool {
	p.bytes += len(o.Value)
	if len(p.Objects) == p.limit || len(p.Objects) > 0 && p.bytes > maxPageBytes {
		p.More = true
		return false
	}
	p.Objects = append(p.Objects, o)
	return true
}
