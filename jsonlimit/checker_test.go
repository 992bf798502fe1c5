package jsonlimit_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"egretdrum.example/jsonlimit"
)

func ExampleChecker() {
	var c jsonlimit.Checker
	_, err := c.Write([]byte(`{"steps":[` + strings.Repeat("{},", jsonlimit.MaxElements)))
	fmt.Println(err)
	// Output: more than 1024 elements in a list or fields in an object
}

// Guards against documents within the limits of a job that are refused, and larger ones that are not.
func TestLimits(t *testing.T) {
	list := func(n int) string { return "[" + strings.Repeat("1,", n-1) + "1]" }
	for _, test := range []struct {
		name, document string
		ok             bool
	}{
		{"largest list", list(1024), true},
		{"too large a list", list(1025), false},
		{"many lists", "[" + strings.Repeat(list(1024)+",", 1023) + list(1024) + "]", true},
		{"commas and brackets in a string", `["` + strings.Repeat(`,[{\"`, 1000) + `"]`, true},
		{"longest string", `["` + strings.Repeat(`\u0041`, 4000) + `"]`, true},
		{"too long a string", `["` + strings.Repeat("x", 24_001) + `"]`, false},
		{"many fields", "{" + strings.Repeat(`"a":1,`, 1024) + `"a":1}`, false},
		{"longest number", "[" + strings.Repeat("1", 64) + "]", true},
		{"too long a number", "[" + strings.Repeat("1", 65), false},
		{"deep", strings.Repeat("[", 16) + strings.Repeat("]", 16), true},
		{"too deep", strings.Repeat("[", 17), false},
		{"brackets that close nothing", strings.Repeat("]},", 20_000), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := new(jsonlimit.Checker).Write([]byte(test.document))
			_, limited := errors.AsType[*jsonlimit.LimitError](err)
			qt.Assert(t, limited, qt.Equals, !test.ok)
		})
	}
}

// Guards against a document that is taken for another one when it arrives in parts.
func TestPartsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Repeat(rapid.StringMatching(`[\[\]{},"\\a1]{0,40}`).Draw(t, "text"), rapid.IntRange(1, 40).Draw(t, "times"))
		var whole, inParts jsonlimit.Checker
		_, wholeErr := whole.Write([]byte(text))
		var partErr error
		for rest := text; rest != "" && partErr == nil; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "part")
			_, partErr = inParts.Write([]byte(rest[:n]))
			rest = rest[n:]
		}
		if fmt.Sprint(wholeErr) != fmt.Sprint(partErr) || wholeErr == nil && whole.Memory() != inParts.Memory() {
			t.Fatalf("%q: %v and %v", text, wholeErr, partErr)
		}
	})
}
