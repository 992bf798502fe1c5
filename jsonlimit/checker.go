// Package jsonlimit bounds what a JSON document can become when it is decoded, while the document
// is still arriving.
package jsonlimit

import "fmt"

const (
	// MaxElements is the largest number of elements of one list: a job has 1,024 steps at most,
	// and a step follows only earlier ones.
	MaxElements = 1024
	// maxDepth is the deepest nesting; that of a job is four.
	maxDepth = 16
	// maxTextBytes bounds one string, escaped. A spec has 4,000 bytes at most, and each of them
	// takes up to six as \u00XX.
	maxTextBytes = 6 * 4000
	// maxWordBytes bounds a number, which errors of the decoder quote.
	maxWordBytes = 64
	// textFactor, elementBytes and objectBytes are what a byte of the document, an element of a
	// list and an object take until the store has answered: the document, the decoded job, its
	// stored form, and that in base64 in a call whose buffer may be twice as long.
	textFactor   = 8
	elementBytes = 32
	objectBytes  = 640
)

// LimitError reports a document that exceeds a limit.
type LimitError struct {
	What string
	Max  int
}

func (e *LimitError) Error() string { return fmt.Sprintf("more than %d %s", e.Max, e.What) }

// Checker checks the parts of one document that are written to it. It does not check the syntax.
type Checker struct {
	depth int
	// commas counts those of each list or object that is open.
	commas [maxDepth]int

	inText, escaped      bool
	textBytes, wordBytes int

	bytes, elements, objects int64
}

// Write implements io.Writer. It returns a *LimitError for the first limit that is exceeded.
func (c *Checker) Write(p []byte) (int, error) {
	for i, b := range p {
		if err := c.next(b); err != nil {
			return i, err
		}
	}
	c.bytes += int64(len(p))
	return len(p), nil
}

func (c *Checker) next(b byte) error {
	if c.inText {
		return c.nextOfText(b)
	}
	c.wordBytes++
	switch b {
	case ' ', '\t', '\r', '\n', ':':
		c.wordBytes = 0
	case '"':
		c.inText, c.textBytes, c.wordBytes = true, 0, 0
	case '{', '[':
		if c.depth == maxDepth {
			return &LimitError{"nested values", maxDepth}
		}
		c.commas[c.depth], c.wordBytes = 0, 0
		c.depth++
		if b == '{' {
			c.objects++
		}
	case '}', ']':
		c.depth, c.wordBytes = max(0, c.depth-1), 0
	case ',':
		c.wordBytes = 0
		return c.nextElement()
	default:
		if c.wordBytes > maxWordBytes {
			return &LimitError{"bytes in a number", maxWordBytes}
		}
	}
	return nil
}

func (c *Checker) nextOfText(b byte) error {
	if b == '"' && !c.escaped {
		c.inText = false
		return nil
	}
	c.escaped = b == '\\' && !c.escaped
	if c.textBytes++; c.textBytes > maxTextBytes {
		return &LimitError{"bytes in a string", maxTextBytes}
	}
	return nil
}

func (c *Checker) nextElement() error {
	c.elements++
	if c.depth == 0 {
		return nil
	}
	c.commas[c.depth-1]++
	if c.commas[c.depth-1] >= MaxElements {
		return &LimitError{"elements in a list or fields in an object", MaxElements}
	}
	return nil
}

// Memory returns a bound for the bytes that the document takes until it is stored.
func (c *Checker) Memory() int64 {
	return textFactor*c.bytes + elementBytes*c.elements + objectBytes*c.objects
}
