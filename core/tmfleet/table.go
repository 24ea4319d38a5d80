package tmfleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// Table is an immutable map whose entries are visited in the order of their
// keys, so that every entry process derives the same decisions from the same
// table. The zero Table is empty. Tables are safe for concurrent use.
type Table[K cmp.Ordered, V any] struct {
	keys []K
	rows map[K]V
}

// NewTable returns a Table with a copy of rows.
func NewTable[K cmp.Ordered, V any](rows map[K]V) Table[K, V] {
	return Table[K, V]{keys: slices.Sorted(maps.Keys(rows)), rows: maps.Clone(rows)}
}

// Len returns the number of entries.
func (t Table[K, V]) Len() int {
	return len(t.keys)
}

// Get returns the value under key, and whether there is one.
func (t Table[K, V]) Get(key K) (V, bool) {
	v, ok := t.rows[key]
	return v, ok
}

// Has reports whether there is a value under key.
func (t Table[K, V]) Has(key K) bool {
	_, ok := t.rows[key]
	return ok
}

// All visits the entries in the order of their keys.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range t.keys {
			if !yield(k, t.rows[k]) {
				return
			}
		}
	}
}

// Keys returns the keys in ascending order. The caller owns the slice.
func (t Table[K, V]) Keys() []K {
	return slices.Clone(t.keys)
}

// With returns a copy of t that has v under key.
func (t Table[K, V]) With(key K, v V) Table[K, V] {
	rows := make(map[K]V, len(t.rows)+1)
	maps.Copy(rows, t.rows)
	_, exists := rows[key]
	rows[key] = v
	if exists {
		return Table[K, V]{keys: t.keys, rows: rows}
	}
	i, _ := slices.BinarySearch(t.keys, key)
	keys := slices.Insert(slices.Clone(t.keys), i, key)
	return Table[K, V]{keys: keys, rows: rows}
}

// Without returns a copy of t that has nothing under key.
func (t Table[K, V]) Without(key K) Table[K, V] {
	if !t.Has(key) {
		return t
	}
	rows := maps.Clone(t.rows)
	delete(rows, key)
	i, _ := slices.BinarySearch(t.keys, key)
	keys := slices.Delete(slices.Clone(t.keys), i, i+1)
	return Table[K, V]{keys: keys, rows: rows}
}
