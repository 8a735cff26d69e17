// Package conf reads TOML files into structs, strictly: an unknown key, a value of the wrong type and a value out of
// bounds are errors that name the file, the line and the key, and such a file is rejected as a whole. A key that the
// file omits has its default. The tags of a struct are the only description of its keys, so that the reader, the
// effective configuration and the page that lists the keys can't differ:
//
//	toml     the key
//	default  the value if the file has none; without this tag the zero value
//	min, max the bounds of a number or a Duration, both inclusive
//	oneof    the allowed words, separated by spaces
//	need     "yes" if the key is required
//	unit     the unit of a number
//	help     a short description
package conf

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// maxFileSize is the maximum size of a file in bytes; far above any real one.
const maxFileSize = 1 << 20

// Duration is a time.Duration that is written as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler. The format is that of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// String returns the duration in the format of time.Duration.String.
func (d Duration) String() string { return time.Duration(d).String() }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Read reads the file at path into the struct that into points to.
func Read(path string, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	switch {
	case err != nil:
		return err
	case len(raw) > maxFileSize:
		return fmt.Errorf("%s: more than %d bytes", path, maxFileSize)
	}
	return Parse(path, raw, into)
}

// Parse is Read for the content of a file; name stands for the file in errors.
func Parse(name string, raw []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return describeError(name, err)
	}
	lines, err := keyLines(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	c := checker{name: name, lines: lines}
	c.walk("", reflect.ValueOf(into).Elem(), reflect.StructField{})
	return errors.Join(c.errs...)
}

// KeyLines returns the line number of each key of a file, for callers that check more than Parse does. An entry of an
// array of tables a is a[0], a[1] and so on.
func KeyLines(raw []byte) (map[string]int, error) { return keyLines(raw) }

// describeError converts an error of the TOML library to one that names the file, the line and the key.
func describeError(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all []error
		for i := range unknown.Errors {
			e := &unknown.Errors[i]
			line, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: unknown key %q", name, line, strings.Join(e.Key(), ".")))
		}
		return errors.Join(all...)
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		at := ""
		if key := strings.Join(bad.Key(), "."); key != "" {
			at = fmt.Sprintf(" key %q:", key)
		}
		return fmt.Errorf("%s:%d:%s %s", name, line, at, strings.TrimPrefix(bad.Error(), "toml: "))
	}
	return fmt.Errorf("%s: %w", name, err)
}

// keyLines implements KeyLines.
func keyLines(raw []byte) (map[string]int, error) {
	var p unstable.Parser
	p.Reset(raw)
	lines, arrays, table := make(map[string]int), make(map[string]int), ""
	lastOffset, lastLine := 0, 1 // continues from the last lookup; the library counts from the start each time
	lineAt := func(offset int) int {
		if offset < lastOffset {
			lastOffset, lastLine = 0, 1
		}
		lastLine += bytes.Count(raw[lastOffset:offset], []byte{'\n'})
		lastOffset = offset
		return lastLine
	}
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		for k := e.Key(); k.Next(); {
			path = joinPath(path, string(k.Node().Data))
			if n, ok := arrays[path]; ok && (e.Kind != unstable.ArrayTable || !k.IsLast()) {
				path = fmt.Sprintf("%s[%d]", path, n-1)
			}
			line = lineAt(int(k.Node().Raw.Offset))
		}
		switch e.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			arrays[path]++
			table = fmt.Sprintf("%s[%d]", path, arrays[path]-1)
			path = table
		default:
			path = joinPath(table, path)
			for v := e.Value().Children(); e.Value().Kind == unstable.InlineTable && v.Next(); {
				for k := v.Node().Key(); k.Next(); {
					lines[joinPath(path, string(k.Node().Data))] = line
				}
			}
		}
		lines[path] = line
	}
	return lines, p.Error()
}

// joinPath appends key to a dotted path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// checker sets defaults and collects errors about missing keys and values out of bounds.
type checker struct {
	name  string
	lines map[string]int
	errs  []error
}

// line returns the line number of a key, or of the nearest enclosing table that the file has.
func (c *checker) line(path string) int {
	for ; path != ""; path = path[:max(0, strings.LastIndexByte(path, '.'))] {
		if n := c.lines[path]; n > 0 {
			return n
		}
	}
	return 1
}

// addError adds an error about the key at path.
func (c *checker) addError(path, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s:%d: key %q %s", c.name, c.line(path), path, fmt.Sprintf(format, args...)))
}

// walk checks the value v at path, and all values in it; f is the struct field with v's tags.
func (c *checker) walk(path string, v reflect.Value, f reflect.StructField) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if key := f.Tag.Get("toml"); key != "" && key != "-" {
				c.walk(joinPath(path, key), v.Field(i), f)
			} else if f.Anonymous { // the keys of an embedded struct are those of the outer one
				c.walk(path, v.Field(i), f)
			}
		}
		return
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Struct {
			for i := range v.Len() {
				c.walk(fmt.Sprintf("%s[%d]", path, i), v.Index(i), f)
			}
			return
		}
	}
	if _, given := c.lines[path]; !given {
		if f.Tag.Get("need") != "" {
			c.addError(path, "is missing")
			return
		}
		setDefault(v, f.Tag.Get("default"))
	}
	c.checkBounds(path, v, f.Tag)
}

// setDefault sets v to the default that a tag gives as text. It panics if the tag is invalid.
func setDefault(v reflect.Value, text string) {
	if text == "" {
		return
	}
	n, err := parseNumber(v.Type(), text)
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return
	case reflect.Bool:
		v.SetBool(text == "true")
		return
	case reflect.Slice:
		v.Set(reflect.ValueOf(strings.Fields(text)))
		return
	case reflect.Float64:
		v.SetFloat(n)
	default:
		v.SetInt(int64(n))
	}
	if err != nil {
		panic(fmt.Sprintf("conf: default %q: %v", text, err))
	}
}

var durationType = reflect.TypeFor[Duration]()

// parseNumber parses a bound or default as a number of type t; a Duration is in nanoseconds.
func parseNumber(t reflect.Type, text string) (float64, error) {
	if t == durationType {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}
	return strconv.ParseFloat(text, 64)
}

// checkBounds checks the value v at path against the tags oneof, min and max. It panics if a tag is invalid.
func (c *checker) checkBounds(path string, v reflect.Value, tag reflect.StructTag) {
	if words := strings.Fields(tag.Get("oneof")); len(words) > 0 {
		given := []string{}
		switch v.Kind() {
		case reflect.String:
			given = append(given, v.String())
		case reflect.Slice:
			given = v.Interface().([]string)
		}
		for _, word := range given {
			if !slices.Contains(words, word) {
				c.addError(path, "is %q: %s are allowed", word, strings.Join(words, ", "))
			}
		}
	}
	var value float64
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		value = float64(v.Int())
	case reflect.Float64:
		value = v.Float()
	default:
		return
	}
	minText, maxText := tag.Get("min"), tag.Get("max")
	low, errLow := parseNumber(v.Type(), cmp.Or(minText, "0"))
	high, errHigh := parseNumber(v.Type(), cmp.Or(maxText, "0"))
	if errLow != nil || errHigh != nil {
		panic(fmt.Sprintf("conf: bounds of %s: %v", path, errors.Join(errLow, errHigh)))
	}
	if minText != "" && !(value >= low) || maxText != "" && !(value <= high) { // written so that NaN is out of bounds
		c.addError(path, "is %v: %s to %s is allowed", v.Interface(), minText, cmp.Or(maxText, "any"))
	}
}

// Write writes a struct as TOML. Read restores the same struct from it.
func Write(w io.Writer, v any) error {
	e := toml.NewEncoder(w)
	e.SetIndentTables(false)
	return e.Encode(v)
}

// Key describes a key, for the page that lists all keys.
type Key struct{ Path, Kind, Default, Bounds, Help string }

// Keys returns the keys of a struct, in the order of its fields.
func Keys(v any) []Key { return listKeys("", reflect.TypeOf(v), reflect.StructField{}) }

// listKeys returns the keys of type t at path; f is the struct field with t's tags.
func listKeys(path string, t reflect.Type, f reflect.StructField) (all []Key) {
	kind := map[reflect.Kind]string{
		reflect.Int: "whole number", reflect.Float64: "number", reflect.String: "text", reflect.Bool: "true or false",
		reflect.Slice: "list of texts", reflect.Map: "table of texts",
	}[t.Kind()]
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return listKeys(path+"[]", t.Elem(), f)
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			if key := t.Field(i).Tag.Get("toml"); key != "" && key != "-" {
				all = append(all, listKeys(joinPath(path, key), t.Field(i).Type, t.Field(i))...)
			}
		}
		return all
	case t == durationType:
		kind = "time"
	}
	if unit := f.Tag.Get("unit"); unit != "" {
		kind += ", " + unit
	}
	k := Key{Path: path, Kind: kind, Default: f.Tag.Get("default"), Help: f.Tag.Get("help")}
	if minText, maxText := f.Tag.Get("min"), f.Tag.Get("max"); minText+maxText != "" {
		k.Bounds = minText + " to " + cmp.Or(maxText, "any")
	}
	if words := f.Tag.Get("oneof"); words != "" {
		k.Bounds = strings.Join(strings.Fields(words), ", ")
	}
	if f.Tag.Get("need") != "" {
		k.Default = "none: it must be given"
	}
	return []Key{k}
}
