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

// absent is the value of a field or element that does not exist.
type absent struct{}

// toTree returns the content as decoded JSON without the client blocks, which are
// too many for this form and are compared separately.
func toTree(c Content) (any, error) {
	withoutBlocks := *c.Register
	withoutBlocks.Blocks = nil
	data, err := json.Marshal(map[string]any{"register": &withoutBlocks, "rules": c.Rules})
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

// fromTree is the inverse of toTree.
func fromTree(v any) (Content, error) {
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

// indexElements returns the elements of a list by key, and the keys in list order.
// It reports false if an element has no key or two have the same; such lists are
// compared as a whole.
func indexElements(v any) (items map[string]any, order []string, ok bool) {
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
		key := elementKey(object)
		if _, duplicate := items[key]; duplicate || key == "" {
			return nil, nil, false
		}
		items[key] = e
		order = append(order, key)
	}
	return items, order, true
}

// elementKey returns the values of the fields that identify an element of a list,
// or the empty string if it has none.
func elementKey(object map[string]any) string {
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

// objectFields returns the fields of a JSON object; an absent value has none.
func objectFields(v any) (map[string]any, bool) {
	if v == (absent{}) || v == nil {
		return map[string]any{}, true
	}
	m, ok := v.(map[string]any)
	return m, ok
}

// fieldOrAbsent returns the value of a key, or absent.
func fieldOrAbsent(m map[string]any, key string) any {
	if v, ok := m[key]; ok {
		return v
	}
	return absent{}
}

func equal(a, b any) bool { return reflect.DeepEqual(a, b) }

// isScalarPair reports whether neither value is an object or a list.
func isScalarPair(a, b any) bool {
	for _, v := range []any{a, b} {
		switch v.(type) {
		case map[string]any, []any:
			return false
		}
	}
	return true
}

// sortedKeys returns the keys of all maps, without duplicates.
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

// visitDifferences calls visit for each value that differs: a scalar, an added or
// removed value, or a list without keys.
func visitDifferences(path string, a, b any, visit func(path string, a, b any)) {
	if equal(a, b) {
		return
	}
	if a == (absent{}) || b == (absent{}) || isScalarPair(a, b) {
		visit(path, a, b)
		return
	}
	if aFields, ok := objectFields(a); ok {
		if bFields, ok := objectFields(b); ok {
			for _, k := range sortedKeys(aFields, bFields) {
				visitDifferences(strings.TrimPrefix(path+"."+k, "."), fieldOrAbsent(aFields, k), fieldOrAbsent(bFields, k), visit)
			}
			return
		}
	}
	aItems, _, aKeyed := indexElements(a)
	bItems, _, bKeyed := indexElements(b)
	if !aKeyed || !bKeyed || (len(aItems) == 0 && len(bItems) == 0) {
		visit(path, a, b)
		return
	}
	for _, k := range sortedKeys(aItems, bItems) {
		visitDifferences(fmt.Sprintf("%s[%s]", path, k), fieldOrAbsent(aItems, k), fieldOrAbsent(bItems, k), visit)
	}
}

// merge applies the changes from base to mine on top of theirs. It adds the paths
// of values that both changed in different ways to conflicts and keeps theirs.
func merge(path string, base, mine, theirs any, conflicts *[]string) any {
	switch {
	case equal(mine, theirs), equal(base, mine):
		return theirs
	case equal(base, theirs):
		return mine
	}
	if mine != (absent{}) && theirs != (absent{}) && !isScalarPair(mine, theirs) {
		if merged, ok := mergeObjects(path, base, mine, theirs, conflicts); ok {
			return merged
		}
		if merged, ok := mergeLists(path, base, mine, theirs, conflicts); ok {
			return merged
		}
	}
	*conflicts = append(*conflicts, path)
	return theirs
}

func mergeObjects(path string, base, mine, theirs any, conflicts *[]string) (any, bool) {
	baseFields, ok1 := objectFields(base)
	mineFields, ok2 := objectFields(mine)
	theirFields, ok3 := objectFields(theirs)
	if !ok1 || !ok2 || !ok3 {
		return nil, false
	}
	out := make(map[string]any)
	for _, k := range sortedKeys(baseFields, mineFields, theirFields) {
		v := merge(strings.TrimPrefix(path+"."+k, "."), fieldOrAbsent(baseFields, k), fieldOrAbsent(mineFields, k), fieldOrAbsent(theirFields, k), conflicts)
		if v != (absent{}) {
			out[k] = v
		}
	}
	return out, true
}

func mergeLists(path string, base, mine, theirs any, conflicts *[]string) (any, bool) {
	baseItems, _, ok1 := indexElements(base)
	mineItems, mineOrder, ok2 := indexElements(mine)
	theirItems, order, ok3 := indexElements(theirs)
	if !ok1 || !ok2 || !ok3 {
		return nil, false
	}
	for _, k := range mineOrder {
		if _, ok := theirItems[k]; !ok {
			order = append(order, k)
		}
	}
	// Elements that only base has were removed in both and are not in order.
	out := make([]any, 0, len(order))
	for _, k := range order {
		v := merge(fmt.Sprintf("%s[%s]", path, k), fieldOrAbsent(baseItems, k), fieldOrAbsent(mineItems, k), fieldOrAbsent(theirItems, k), conflicts)
		if v != (absent{}) {
			out = append(out, v)
		}
	}
	return out, true
}
