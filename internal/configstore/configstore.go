// Package configstore stores templates and customers in the key-value service.
//
// An object's version is the version of its key. Deletion writes a tombstone
// instead of deleting the key, so the version of a name never restarts and a cache
// can refuse every lower one.
package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"vanillalock.example/vanillalock/internal/kv"
	"vanillalock.example/vanillalock/internal/rescode"
)

// Prefix is the key prefix of all configuration objects.
const Prefix = "config/"

// Kind is a kind of configuration object.
type Kind string

// Kinds of objects.
const (
	Template Kind = "template"
	Customer Kind = "customer"
)

// Object is one configuration object at one version.
type Object struct {
	Kind     Kind
	Name     string
	Version  uint64 // rises by one with each edit, across deletions
	Revision uint64 // store-wide revision of the edit
	Deleted  bool
	JSON     json.RawMessage
}

// storedObject is the value of an object's key. Writer and Nonce identify an edit:
// after a lost answer they distinguish the store's own edit from that of a
// concurrent operator.
type storedObject struct {
	Writer  string          `json:"writer"`
	Nonce   uint64          `json:"nonce"`
	Deleted bool            `json:"deleted,omitempty"`
	Object  json.RawMessage `json:"object,omitempty"`
}

// Store reads and writes configuration objects. Put and Delete are not safe for
// concurrent use; callers serialize edits.
type Store struct {
	kv     kv.Store
	writer string
	nonce  uint64
}

// New returns a store that marks its writes with writer, which must be unique to
// the process incarnation.
func New(store kv.Store, writer string) *Store {
	return &Store{kv: store, writer: writer}
}

// Key returns the key of an object.
func Key(kind Kind, name string) string { return Prefix + string(kind) + "/" + name }

// Put writes an object if its current version is expected, where 0 means that the
// name does not exist or is deleted. Errors carry VersionConflict, StoreUnavailable
// (not applied), StoreUncertain, OutOfRange (object too large) or Internal. On
// VersionConflict the current object is returned if it can be read.
func (s *Store) Put(ctx context.Context, kind Kind, name string, object json.RawMessage, expected uint64) (Object, error) {
	return s.write(ctx, kind, name, storedObject{Object: object}, expected)
}

// Delete writes a tombstone if the object's current version is expected, which must
// not be 0. Errors are those of Put.
func (s *Store) Delete(ctx context.Context, kind Kind, name string, expected uint64) (Object, error) {
	if expected == 0 {
		return Object{}, rescode.FieldErrorf(rescode.OutOfRange, "version", "a deletion needs the current version")
	}
	return s.write(ctx, kind, name, storedObject{Deleted: true}, expected)
}

// Get returns an object, which may be a tombstone. The error for an unknown name
// carries NotFound.
func (s *Store) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	entry, err := s.kv.Get(ctx, Key(kind, name))
	if errors.Is(err, kv.ErrNotFound) {
		return Object{}, rescode.FieldErrorf(rescode.NotFound, string(kind), "%q does not exist", name)
	}
	if err != nil {
		return Object{}, rescode.Errorf(rescode.StoreUnavailable, "read %s %q: %w", kind, name, err)
	}
	return Decode(entry)
}

// List returns all objects, tombstones included, and the store's revision.
func (s *Store) List(ctx context.Context) ([]Object, uint64, error) {
	entries, revision, err := s.kv.List(ctx, Prefix)
	if err != nil {
		return nil, 0, rescode.Errorf(rescode.StoreUnavailable, "list the configuration: %w", err)
	}
	objects := make([]Object, 0, len(entries))
	for _, e := range entries {
		o, err := Decode(e)
		if err != nil {
			return nil, 0, err
		}
		objects = append(objects, o)
	}
	return objects, revision, nil
}

// Watch waits for edits after the given revision. It returns the edited objects and
// the revision to continue from.
func (s *Store) Watch(ctx context.Context, after uint64) ([]Object, uint64, error) {
	events, revision, err := s.kv.Watch(ctx, Prefix, after)
	if err != nil {
		return nil, after, rescode.Errorf(rescode.StoreUnavailable, "watch the configuration: %w", err)
	}
	var objects []Object
	for _, ev := range events {
		if ev.Deleted {
			continue // keys are never deleted by this package
		}
		o, err := Decode(ev.Entry)
		if err != nil {
			return nil, after, err
		}
		objects = append(objects, o)
	}
	return objects, revision, nil
}

// Decode returns the object that a store entry holds.
func Decode(entry kv.Entry) (Object, error) {
	kind, name, ok := strings.Cut(strings.TrimPrefix(entry.Key, Prefix), "/")
	if !ok {
		return Object{}, rescode.Errorf(rescode.Internal, "key %q is not a configuration object", entry.Key)
	}
	var env storedObject
	if err := json.Unmarshal(entry.Value, &env); err != nil {
		return Object{}, rescode.Errorf(rescode.Internal, "decode %q: %w", entry.Key, err)
	}
	return Object{
		Kind: Kind(kind), Name: name, Version: entry.Version, Revision: entry.Revision,
		Deleted: env.Deleted, JSON: env.Object,
	}, nil
}

// write replaces the value of an object if its current version is expected.
func (s *Store) write(ctx context.Context, kind Kind, name string, env storedObject, expected uint64) (Object, error) {
	key := Key(kind, name)
	keyVersion, err := s.keyVersion(ctx, key, expected)
	if err != nil {
		return Object{}, err
	}
	s.nonce++
	env.Writer, env.Nonce = s.writer, s.nonce
	value, err := json.Marshal(env)
	if err != nil {
		return Object{}, rescode.Errorf(rescode.Internal, "encode %q: %w", key, err)
	}
	entry, err := s.kv.CompareAndSwap(ctx, key, keyVersion, value, 0)
	switch {
	case err == nil:
		return Decode(entry)
	case errors.Is(err, kv.ErrConflict):
		return s.versionConflict(ctx, key, expected)
	case errors.Is(err, kv.ErrUncertain):
		return s.readBack(ctx, key, env, expected)
	case errors.Is(err, kv.ErrTooLarge):
		return Object{}, rescode.FieldErrorf(rescode.OutOfRange, string(kind), "the object is larger than %d bytes", kv.MaxValueBytes)
	default:
		return Object{}, rescode.Errorf(rescode.StoreUnavailable, "write %q: %w", key, err)
	}
}

// keyVersion returns the key version to expect when an edit expects the given object
// version. They differ only if the name was deleted: creating it again replaces the
// tombstone.
func (s *Store) keyVersion(ctx context.Context, key string, expected uint64) (uint64, error) {
	if expected != 0 {
		return expected, nil
	}
	entry, err := s.kv.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, rescode.Errorf(rescode.StoreUnavailable, "read %q: %w", key, err)
	}
	current, err := Decode(entry)
	if err != nil {
		return 0, err
	}
	if current.Deleted {
		return entry.Version, nil
	}
	return 0, nil
}

// versionConflict returns the VersionConflict error, and the current object if it
// can be read.
func (s *Store) versionConflict(ctx context.Context, key string, expected uint64) (Object, error) {
	conflict := rescode.FieldErrorf(rescode.VersionConflict, "version", "%q no longer has version %d", key, expected)
	entry, err := s.kv.Get(ctx, key)
	if err != nil {
		return Object{}, conflict
	}
	current, err := Decode(entry)
	if err != nil {
		return Object{}, conflict
	}
	return current, conflict
}

// readBack decides whether a write whose answer was lost took effect.
func (s *Store) readBack(ctx context.Context, key string, sent storedObject, expected uint64) (Object, error) {
	entry, err := s.kv.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return Object{}, rescode.Errorf(rescode.StoreUnavailable, "write %q: not applied", key)
	}
	if err != nil {
		return Object{}, rescode.Errorf(rescode.StoreUncertain, "write %q: the answer was lost: %w", key, err)
	}
	var stored storedObject
	if err := json.Unmarshal(entry.Value, &stored); err != nil {
		return Object{}, rescode.Errorf(rescode.Internal, "decode %q: %w", key, err)
	}
	if stored.Writer == sent.Writer && stored.Nonce == sent.Nonce {
		return Decode(entry)
	}
	if entry.Version <= expected {
		return Object{}, rescode.Errorf(rescode.StoreUncertain, "write %q: not applied so far", key)
	}
	// The key holds another edit. If there were several since the expected version,
	// the sent one may be among them, so a conflict is not proven.
	if entry.Version > expected+1 {
		return Object{}, rescode.Errorf(rescode.StoreUncertain, "write %q: replaced by a later edit", key)
	}
	current, err := Decode(entry)
	if err != nil {
		return Object{}, err
	}
	return current, rescode.FieldErrorf(rescode.VersionConflict, "version", "%q no longer has version %d", key, expected)
}

// IsConflict reports whether err is a version conflict.
func IsConflict(err error) bool {
	return rescode.Of(err) == rescode.VersionConflict
}

// String names the object and its version.
func (o Object) String() string {
	return fmt.Sprintf("%s %s version %d", o.Kind, o.Name, o.Version)
}
