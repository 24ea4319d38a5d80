package tmfleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Table is an immutable map that is iterated in ascending order of its keys, so
// that every entry process makes the same decisions from the same table. The
// zero Table is empty. Tables are safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	keys   []K
	values map[K]V
}

// NewTable returns a Table with a copy of values.
func NewTable[K cmp.Ordered, V any](values map[K]V) Table[K, V] {
	return Table[K, V]{keys: slices.Sorted(maps.Keys(values)), values: maps.Clone(values)}
}

// Len returns the number of keys.
func (t Table[K, V]) Len() int {
	return len(t.keys)
}

// Get returns the value of key and whether the key exists.
func (t Table[K, V]) Get(key K) (V, bool) {
	v, ok := t.values[key]
	return v, ok
}

// Has reports whether the key exists.
func (t Table[K, V]) Has(key K) bool {
	_, ok := t.values[key]
	return ok
}

// All iterates over keys and values in ascending order of the keys.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range t.keys {
			if !yield(k, t.values[k]) {
				return
			}
		}
	}
}

// Keys returns the keys in ascending order. The caller owns the slice.
func (t Table[K, V]) Keys() []K {
	return slices.Clone(t.keys)
}

// With returns a copy of t in which key has the value v.
func (t Table[K, V]) With(key K, v V) Table[K, V] {
	values := make(map[K]V, len(t.values)+1)
	maps.Copy(values, t.values)
	_, exists := values[key]
	values[key] = v
	if exists {
		return Table[K, V]{keys: t.keys, values: values}
	}
	i, _ := slices.BinarySearch(t.keys, key)
	keys := slices.Insert(slices.Clone(t.keys), i, key)
	return Table[K, V]{keys: keys, values: values}
}

// Without returns a copy of t without key.
func (t Table[K, V]) Without(key K) Table[K, V] {
	if !t.Has(key) {
		return t
	}
	values := maps.Clone(t.values)
	delete(values, key)
	i, _ := slices.BinarySearch(t.keys, key)
	keys := slices.Delete(slices.Clone(t.keys), i, i+1)
	return Table[K, V]{keys: keys, values: values}
}
