package tmadmit

import "container/list"

// memory holds a limited number of values by job id. If there are more, the one that was set
// least recently is dropped.
type memory[V any] struct {
	limit int
	byID  map[string]*list.Element
	// order holds the entries, that which was set last at the back.
	order *list.List
}

type memoryEntry[V any] struct {
	id    string
	value V
}

func newMemory[V any](limit int) memory[V] {
	return memory[V]{limit: limit, byID: map[string]*list.Element{}, order: list.New()}
}

// get returns the value of an id.
func (m *memory[V]) get(id string) (V, bool) {
	if at, ok := m.byID[id]; ok {
		return at.Value.(memoryEntry[V]).value, true
	}
	var none V
	return none, false
}

// set sets the value of an id.
func (m *memory[V]) set(id string, value V) {
	m.remove(id)
	if m.order.Len() == m.limit {
		m.remove(m.order.Front().Value.(memoryEntry[V]).id)
	}
	m.byID[id] = m.order.PushBack(memoryEntry[V]{id: id, value: value})
}

func (m *memory[V]) remove(id string) {
	if at, ok := m.byID[id]; ok {
		m.order.Remove(at)
		delete(m.byID, id)
	}
}
