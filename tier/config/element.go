package config

import "slices"

// Element is a list element of a document that is identified by its name.
type Element interface{ name() string }

func (c Class) name() string    { return c.Name }
func (h Host) name() string     { return h.Name }
func (u Upstream) name() string { return u.Name }
func (s Service) name() string  { return s.Name }
func (s Shard) name() string    { return s.Name }
func (g Group) name() string    { return g.Name }
func (r Route) name() string    { return r.Name }

// Find returns the element with the given name, or nil.
func Find[T Element](list []T, name string) *T {
	i := slices.IndexFunc(list, func(v T) bool { return v.name() == name })
	if i < 0 {
		return nil
	}
	return &list[i]
}

// Put replaces the element with the same name, or appends the value if there is none.
func Put[T Element](list []T, v T) []T {
	if same := Find(list, v.name()); same != nil {
		*same = v
		return list
	}
	return append(list, v)
}

// Drop deletes the elements with the given name and reports whether there were any.
func Drop[T Element](list *[]T, name string) bool {
	before := len(*list)
	*list = slices.DeleteFunc(*list, func(v T) bool { return v.name() == name })
	return len(*list) < before
}

func indexByName[T Element](list []T) map[string]*T {
	out := make(map[string]*T, len(list))
	for i := range list {
		out[list[i].name()] = &list[i]
	}
	return out
}
