// Package platform is an in-memory stand-in for the platform's object API and
// its list of instances, which shows changes after a lag.
package platform

import (
	"errors"
	"slices"
	"sort"
	"strings"

	api "github.com/nutmegroute/nutmegroute/internal/platform"
)

// errVersionMismatch is returned for a write whose expected version differs
// from the current version of the object.
var errVersionMismatch = errors.New("condition failed")

const (
	// maxPageObjects and maxPageBytes limit one response of a list or watch.
	// The first object is always returned, even if it exceeds maxPageBytes.
	maxPageObjects = 1000
	maxPageBytes   = 4 << 20
)

// store holds objects and a revision that each successful write increments. It is
// not safe for concurrent use.
type store struct {
	revision uint64
	// objects includes deleted objects because watches report deletions.
	objects map[string]api.Object
	// keys holds the sorted keys of objects.
	keys []string
	// revisionLog holds the key written at each revision, in order. Entries
	// superseded by a later write to the same key are removed when the log has
	// grown to more than twice the number of objects plus maxPageObjects.
	revisionLog []revisionEntry
}

type revisionEntry struct {
	revision uint64
	key      string
}

// write creates, updates or deletes an object if its current version equals
// version. Version 0 creates an object, which must be absent or deleted. write
// returns the written object or, with errVersionMismatch, the current object,
// without the value in both cases.
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
		return current, errVersionMismatch
	}
	s.revision++
	object := api.Object{Key: key, Version: s.revision, Value: value, Deleted: deleted}
	if !known {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.objects[key] = object
	s.revisionLog = append(s.revisionLog, revisionEntry{s.revision, key})
	if len(s.revisionLog) > 2*len(s.objects)+maxPageObjects {
		s.revisionLog = slices.DeleteFunc(s.revisionLog, func(e revisionEntry) bool { return s.objects[e.key].Version != e.revision })
	}
	object.Value = nil
	return object, nil
}

// list returns the objects with the prefix and a key greater than after that
// are not deleted, in key order.
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

// changedSince returns the objects with the prefix and a version greater than
// after, including deleted objects, in revision order. If the page is full, the
// revision of the response is that of its last object, so that a watch can
// always continue from the revision of the response.
func (s *store) changedSince(prefix string, after uint64) api.ListResponse {
	i := sort.Search(len(s.revisionLog), func(i int) bool { return s.revisionLog[i].revision > after })
	p := newPage(s.revision, maxPageObjects)
	for _, e := range s.revisionLog[i:] {
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

// page is a response of a list or watch while it is filled.
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

// add appends an object. If the page is full, it sets More and returns false.
func (p *page) add(o api.Object) bool {
	p.bytes += len(o.Value)
	if len(p.Objects) == p.limit || len(p.Objects) > 0 && p.bytes > maxPageBytes {
		p.More = true
		return false
	}
	p.Objects = append(p.Objects, o)
	return true
}
