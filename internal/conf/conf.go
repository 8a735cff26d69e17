// Package conf reads TOML files into structs, strictly: an unknown key, a value of the wrong type and one out of its
// bounds are errors that name the file, the line and the key, and nothing of such a file is used. What a file leaves
// out takes its default. A struct's tags say all that there is to say of a key, so that the reader, the
// effective configuration and the page that lists the keys can't differ:
//
//	toml     the key
//	default  its value where the file has none; none stands for the zero value
//	min, max the bounds of a number or a Duration, both inclusive
//	oneof    the words that are allowed, by spaces
//	need     "yes" where the file must have it
//	unit     of a number
//	help     what it does, in a few words
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

// fileLimit is the size of a file in bytes at most; far above any real one.
const fileLimit = 1 << 20

// Duration is a time that is written as "250ms" or "1m30s".
type Duration time.Duration

// UnmarshalText reads what MarshalText writes.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no time such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a time as Go does.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// D is the time as the standard library has it.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Read reads the file at path into the struct that into points to.
func Read(path string, into any) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, fileLimit+1))
	switch {
	case err != nil:
		return err
	case len(raw) > fileLimit:
		return fmt.Errorf("%s: more than %d bytes", path, fileLimit)
	}
	return Parse(path, raw, into)
}

// Parse is Read for what a file holds; name stands for the file in errors.
func Parse(name string, raw []byte, into any) error {
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return explain(name, err)
	}
	lines, err := linesOf(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	c := checker{name: name, lines: lines}
	c.walk("", reflect.ValueOf(into).Elem(), reflect.StructField{})
	return errors.Join(c.errs...)
}

// Lines tells on which line each key of a file stands, for whoever finds more wrong with one than Parse does. An entry of an array of
// tables is a[0], a[1] and so on.
func KeyLines(raw []byte) (map[string]int, error) { return linesOf(raw) }

// explain names the file, the line and the key that the library's error is about.
func explain(name string, err error) error {
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

// linesOf tells on which line each key stands; an entry of an array of tables is a[0], a[1] and so on.
func linesOf(raw []byte) (map[string]int, error) {
	var p unstable.Parser
	p.Reset(raw)
	lines, arrays, table := make(map[string]int), make(map[string]int), ""
	at, on := 0, 1 // a place, and its line: the library would count from the start for each key
	lineAt := func(offset int) int {
		if offset < at {
			at, on = 0, 1
		}
		on += bytes.Count(raw[at:offset], []byte{'\n'})
		at = offset
		return on
	}
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		for k := e.Key(); k.Next(); {
			path = join(path, string(k.Node().Data))
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
			path = join(table, path)
			for v := e.Value().Children(); e.Value().Kind == unstable.InlineTable && v.Next(); {
				for k := v.Node().Key(); k.Next(); {
					lines[join(path, string(k.Node().Data))] = line
				}
			}
		}
		lines[path] = line
	}
	return lines, p.Error()
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// checker fills in defaults and collects what is out of bounds.
type checker struct {
	name  string
	lines map[string]int
	errs  []error
}

// line is where a key stands, or the nearest table above it that the file has.
func (c *checker) line(path string) int {
	for ; path != ""; path = path[:max(0, strings.LastIndexByte(path, '.'))] {
		if n := c.lines[path]; n > 0 {
			return n
		}
	}
	return 1
}

func (c *checker) fail(path, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s:%d: key %q %s", c.name, c.line(path), path, fmt.Sprintf(format, args...)))
}

func (c *checker) walk(path string, v reflect.Value, f reflect.StructField) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			if key := f.Tag.Get("toml"); key != "" && key != "-" {
				c.walk(join(path, key), v.Field(i), f)
			} else if f.Anonymous { // its keys are the outer one's
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
			c.fail(path, "is missing")
			return
		}
		set(v, f.Tag.Get("default"))
	}
	c.bounds(path, v, f.Tag)
}

// set gives a field the value that a tag has as text. A tag that can't be read is a mistake in the program.
func set(v reflect.Value, text string) {
	if text == "" {
		return
	}
	n, err := number(v.Type(), text)
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

// number reads a tag as a number of its field's type.
func number(t reflect.Type, text string) (float64, error) {
	if t == durationType {
		d, err := time.ParseDuration(text)
		return float64(d), err
	}
	return strconv.ParseFloat(text, 64)
}

func (c *checker) bounds(path string, v reflect.Value, tag reflect.StructTag) {
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
				c.fail(path, "is %q: %s are allowed", word, strings.Join(words, ", "))
			}
		}
	}
	var at float64
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		at = float64(v.Int())
	case reflect.Float64:
		at = v.Float()
	default:
		return
	}
	least, most := tag.Get("min"), tag.Get("max")
	low, errLow := number(v.Type(), cmp.Or(least, "0"))
	high, errHigh := number(v.Type(), cmp.Or(most, "0"))
	if errLow != nil || errHigh != nil {
		panic(fmt.Sprintf("conf: bounds of %s: %v", path, errors.Join(errLow, errHigh)))
	}
	if least != "" && !(at >= low) || most != "" && !(at <= high) { // a NaN is neither
		c.fail(path, "is %v: %s to %s is allowed", v.Interface(), least, cmp.Or(most, "any"))
	}
}

// Write writes a struct as the file that would give it: the effective configuration.
func Write(w io.Writer, v any) error {
	e := toml.NewEncoder(w)
	e.SetIndentTables(false)
	return e.Encode(v)
}

// Key describes one key, for the page that lists them.
type Key struct{ Path, Kind, Default, Bounds, Help string }

// Keys lists the keys of a struct, in its own order.
func Keys(v any) []Key { return keys("", reflect.TypeOf(v), reflect.StructField{}) }

func keys(path string, t reflect.Type, f reflect.StructField) (all []Key) {
	kind := map[reflect.Kind]string{
		reflect.Int: "whole number", reflect.Float64: "number", reflect.String: "text", reflect.Bool: "true or false",
		reflect.Slice: "list of texts", reflect.Map: "table of texts",
	}[t.Kind()]
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return keys(path+"[]", t.Elem(), f)
	case t.Kind() == reflect.Struct:
		for i := range t.NumField() {
			if key := t.Field(i).Tag.Get("toml"); key != "" && key != "-" {
				all = append(all, keys(join(path, key), t.Field(i).Type, t.Field(i))...)
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
	if least, most := f.Tag.Get("min"), f.Tag.Get("max"); least+most != "" {
		k.Bounds = least + " to " + cmp.Or(most, "any")
	}
	if words := f.Tag.Get("oneof"); words != "" {
		k.Bounds = strings.Join(strings.Fields(words), ", ")
	}
	if f.Tag.Get("need") != "" {
		k.Default = "none: it must be given"
	}
	return []Key{k}
}
