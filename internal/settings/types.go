package settings

import (
	"fmt"
	"net"
	neturl "net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// stringField returns a field for a string that check accepts. An empty value of a
// key that is not required is not checked.
func stringField(p *string, k Key, def string, check func(string) error) field {
	return field{
		Key:   k,
		reset: func() { *p = def },
		get:   func() any { return *p },
		set: func(v any) error {
			s, ok := v.(string)
			if !ok {
				return fmt.Errorf("expected a string, found %s", typeName(v))
			}
			if len(s) > maxTextLength {
				return fmt.Errorf("longer than %d bytes", maxTextLength)
			}
			if k.Required || s != "" {
				if err := check(s); err != nil {
					return err
				}
			}
			*p = s
			return nil
		},
	}
}

// textField returns a field for arbitrary text.
func textField(p *string, path, def, doc string) field {
	k := Key{Path: path, Type: "string", Range: fmt.Sprintf("up to %d bytes", maxTextLength), Default: def, Doc: doc}
	return stringField(p, k, def, func(string) error { return nil })
}

// nameField returns a field for a name or id.
func nameField(p *string, path string, required bool, doc string) field {
	k := Key{Path: path, Type: "name", Range: fmt.Sprintf("1 to %d of A-Z a-z 0-9 . _ -", maxNameLength), Required: required, Doc: doc}
	return stringField(p, k, "", func(s string) error {
		if len(s) > maxNameLength || !namePattern.MatchString(s) {
			return fmt.Errorf("%q is not a name: %s", s, k.Range)
		}
		return nil
	})
}

// choiceField returns a field for one of the allowed strings.
func choiceField(p *string, path, def string, allowed []string, doc string) field {
	k := Key{Path: path, Type: "string", Range: "one of " + strings.Join(allowed, ", "), Default: def, Doc: doc}
	f := stringField(p, k, def, func(string) error { return nil })
	set := f.set
	f.set = func(v any) error {
		if s, ok := v.(string); ok && !slices.Contains(allowed, s) {
			return fmt.Errorf("%q is not %s", s, k.Range)
		}
		return set(v)
	}
	return f
}

// addressField returns a field for a host and port.
func addressField(p *string, path string, required bool, doc string) field {
	k := Key{Path: path, Type: "address", Range: "host:port", Required: required, Doc: doc}
	return stringField(p, k, "", checkAddress)
}

func checkAddress(s string) error {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is not host:port", s)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("port of %q is out of range 0 to 65535", s)
	}
	return nil
}

// urlField returns a field for an HTTP base URL.
func urlField(p *string, path string, required bool, doc string) field {
	k := Key{Path: path, Type: "URL", Range: "http:// or https://", Required: required, Doc: doc}
	return stringField(p, k, "", checkURL)
}

func checkURL(s string) error {
	u, err := neturl.Parse(s)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("%q is not an http:// or https:// URL", s)
	}
	return nil
}

// addressListField returns a required field for a list of different addresses.
func addressListField(p *[]string, path, doc string) field {
	return field{
		Key:   Key{Path: path, Type: "list of addresses", Range: fmt.Sprintf("1 to %d of host:port", maxEntries), Required: true, Doc: doc},
		reset: func() { *p = nil },
		get:   func() any { return *p },
		set: func(v any) error {
			items, ok := v.([]any)
			if !ok {
				return fmt.Errorf("expected a list of strings, found %s", typeName(v))
			}
			if len(items) == 0 || len(items) > maxEntries {
				return fmt.Errorf("%d items are out of range 1 to %d", len(items), maxEntries)
			}
			list := make([]string, len(items))
			for i, item := range items {
				s, ok := item.(string)
				if !ok {
					return fmt.Errorf("item %d: expected a string, found %s", i+1, typeName(item))
				}
				if err := checkAddress(s); err != nil {
					return fmt.Errorf("item %d: %w", i+1, err)
				}
				if slices.Contains(list[:i], s) {
					return fmt.Errorf("item %d: %q is repeated", i+1, s)
				}
				list[i] = s
			}
			*p = list
			return nil
		},
	}
}

// durationField returns a field for a duration from low to high, written with a
// unit.
func durationField(p *time.Duration, path string, def, low, high time.Duration, doc string) field {
	k := Key{Path: path, Type: "duration", Range: formatRange(formatDuration(low), formatDuration(high)), Default: formatDuration(def), Doc: doc}
	return field{
		Key:   k,
		reset: func() { *p = def },
		get:   func() any { return formatDuration(*p) },
		set: func(v any) error {
			s, ok := v.(string)
			if !ok {
				return fmt.Errorf("expected a duration with unit such as %q, found %s", formatDuration(def), typeName(v))
			}
			d, err := time.ParseDuration(s)
			if err != nil || s == "0" {
				return fmt.Errorf("%q is not a duration; write a number with a unit of ms, s, m or h", s)
			}
			if d < low || d > high {
				return fmt.Errorf("%s is out of range %s", s, k.Range)
			}
			*p = d
			return nil
		},
	}
}

// integerField returns a field for an integer from low to high.
func integerField(p *int64, path string, def, low, high int64, doc string) field {
	k := Key{Path: path, Type: "integer", Range: formatRange(low, high), Default: strconv.FormatInt(def, 10), Doc: doc}
	return field{
		Key:   k,
		reset: func() { *p = def },
		get:   func() any { return *p },
		set: func(v any) error {
			n, ok := v.(int64)
			if !ok {
				return fmt.Errorf("expected an integer, found %s", typeName(v))
			}
			if n < low || n > high {
				return fmt.Errorf("%d is out of range %s", n, k.Range)
			}
			*p = n
			return nil
		},
	}
}

// booleanField returns a field for a boolean.
func booleanField(p *bool, path string, def bool, doc string) field {
	return field{
		Key:   Key{Path: path, Type: "boolean", Range: "true or false", Default: strconv.FormatBool(def), Doc: doc},
		reset: func() { *p = def },
		get:   func() any { return *p },
		set: func(v any) error {
			b, ok := v.(bool)
			if !ok {
				return fmt.Errorf("expected true or false, found %s", typeName(v))
			}
			*p = b
			return nil
		},
	}
}

// typeName describes a TOML value in error messages.
func typeName(v any) string {
	switch v := v.(type) {
	case string:
		return fmt.Sprintf("the string %.40q", v)
	case int64:
		return fmt.Sprintf("the integer %d", v)
	case float64:
		return fmt.Sprintf("the number %g", v)
	case bool:
		return fmt.Sprintf("%t", v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}
