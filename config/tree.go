package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/currantferry/currantferry/register"
	"github.com/currantferry/currantferry/rules"
)

// absent stands for a value that is not there.
type absent struct{}

// tree returns the JSON form of the content without client blocks, which are
// compared by type because they are many.
func tree(c Content) (any, error) {
	bare := *c.Register
	bare.Blocks = nil
	data, err := json.Marshal(map[string]any{"register": &bare, "rules": c.Rules})
	if err != nil {
		return nil, errors.Wrap(err, "config: compare")
	}
	var v any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&v); err != nil {
		return nil, errors.Wrap(err, "config: compare")
	}
	return v, nil
}

// untree is the inverse of tree.
func untree(v any) (Content, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return Content{}, errors.Wrap(err, "config: merge")
	}
	var form struct {
		Register *register.Register `json:"register"`
		Rules    *rules.Rules       `json:"rules"`
	}
	if err := json.Unmarshal(data, &form); err != nil {
		return Content{}, errors.Wrap(err, "config: merge")
	}
	return Content{Register: form.Register, Rules: form.Rules}, nil
}

// keyed returns the elements of a list by their identity, and their order. It
// reports false for lists whose elements have no identity; those are compared
// as a whole.
func keyed(v any) (items map[string]any, order []string, ok bool) {
	list, isList := v.([]any)
	if v == nil || v == (absent{}) {
		return map[string]any{}, nil, true
	}
	if !isList {
		return nil, nil, false
	}
	items = make(map[string]any, len(list))
	for _, e := range list {
		object, isObject := e.(map[string]any)
		if !isObject {
			return nil, nil, false
		}
		key := identity(object)
		if _, twice := items[key]; twice || key == "" {
			return nil, nil, false
		}
		items[key] = e
		order = append(order, key)
	}
	return items, order, true
}

// identity returns the fields that identify an element of a list.
func identity(object map[string]any) string {
	for _, fields := range [][]string{{"id"}, {"name"}, {"prefix", "method"}, {"service"}, {"a", "b"}} {
		if _, ok := object[fields[0]]; !ok {
			continue
		}
		var parts []string
		for _, f := range fields {
			if text, ok := object[f].(string); ok {
				parts = append(parts, text)
			}
		}
		return strings.Join(parts, " ")
	}
	return ""
}

// object returns the fields of a JSON object; an absent value has none.
func object(v any) (map[string]any, bool) {
	if v == (absent{}) || v == nil {
		return map[string]any{}, true
	}
	m, ok := v.(map[string]any)
	return m, ok
}

func field(m map[string]any, key string) any {
	if v, ok := m[key]; ok {
		return v
	}
	return absent{}
}

func equal(a, b any) bool { return reflect.DeepEqual(a, b) }

func isScalarPair(a, b any) bool {
	for _, v := range []any{a, b} {
		switch v.(type) {
		case map[string]any, []any:
			return false
		}
	}
	return true
}

func sortedKeys(maps ...map[string]any) []string {
	var keys []string
	seen := make(map[string]bool)
	for _, m := range maps {
		for k := range m {
			if !seen[k] {
				seen[k] = true
				keys = append(keys, k)
			}
		}
	}
	slices.Sort(keys)
	return keys
}

// differ calls visit for each leaf that differs.
func differ(path string, a, b any, visit func(path string, a, b any)) {
	if equal(a, b) {
		return
	}
	if a == (absent{}) || b == (absent{}) || isScalarPair(a, b) {
		visit(path, a, b)
		return
	}
	if am, ok := object(a); ok {
		if bm, ok := object(b); ok {
			for _, k := range sortedKeys(am, bm) {
				differ(strings.TrimPrefix(path+"."+k, "."), field(am, k), field(bm, k), visit)
			}
			return
		}
	}
	ai, _, aok := keyed(a)
	bi, _, bok := keyed(b)
	if !aok || !bok || (len(ai) == 0 && len(bi) == 0) {
		visit(path, a, b)
		return
	}
	for _, k := range sortedKeys(ai, bi) {
		differ(fmt.Sprintf("%s[%s]", path, k), field(ai, k), field(bi, k), visit)
	}
}

// merge applies the changes from base to mine on top of theirs and adds the
// paths that both changed in different ways to clashes.
func merge(path string, base, mine, theirs any, clashes *[]string) any {
	switch {
	case equal(mine, theirs), equal(base, mine):
		return theirs
	case equal(base, theirs):
		return mine
	}
	if mine != (absent{}) && theirs != (absent{}) && !isScalarPair(mine, theirs) {
		if merged, ok := mergeObjects(path, base, mine, theirs, clashes); ok {
			return merged
		}
		if merged, ok := mergeLists(path, base, mine, theirs, clashes); ok {
			return merged
		}
	}
	*clashes = append(*clashes, path)
	return theirs
}

func mergeObjects(path string, base, mine, theirs any, clashes *[]string) (any, bool) {
	bm, ok1 := object(base)
	mm, ok2 := object(mine)
	tm, ok3 := object(theirs)
	if !ok1 || !ok2 || !ok3 {
		return nil, false
	}
	out := make(map[string]any)
	for _, k := range sortedKeys(bm, mm, tm) {
		v := merge(strings.TrimPrefix(path+"."+k, "."), field(bm, k), field(mm, k), field(tm, k), clashes)
		if v != (absent{}) {
			out[k] = v
		}
	}
	return out, true
}

func mergeLists(path string, base, mine, theirs any, clashes *[]string) (any, bool) {
	bi, _, ok1 := keyed(base)
	mi, mineOrder, ok2 := keyed(mine)
	ti, order, ok3 := keyed(theirs)
	if !ok1 || !ok2 || !ok3 {
		return nil, false
	}
	for _, k := range mineOrder {
		if _, ok := ti[k]; !ok {
			order = append(order, k)
		}
	}
	// Elements that only the base has were removed by both.
	out := make([]any, 0, len(order))
	for _, k := range order {
		v := merge(fmt.Sprintf("%s[%s]", path, k), field(bi, k), field(mi, k), field(ti, k), clashes)
		if v != (absent{}) {
			out = append(out, v)
		}
	}
	return out, true
}
