package contract

import (
	"strconv"
	"strings"
)

// ShareAccepted describes the accepted forms of a share.
const ShareAccepted = "a percentage from 0% to 100% with at most 4 decimals, for example 12.5%"

const (
	percentMillionths = ShareWhole / 100
	shareDecimals     = 4
)

// ParseShare converts a percentage such as 12.5% to millionths. It parses the decimal digits
// as an integer, because a floating-point number would round shares such as 0.0001%.
func ParseShare(s string) (int64, error) {
	fieldErr := &FieldError{Team: "share", Field: "percentage", Value: strconv.Quote(s), Accepted: ShareAccepted}
	digits, ok := strings.CutSuffix(s, "%")
	if !ok {
		return 0, fieldErr
	}
	whole, fraction, point := strings.Cut(digits, ".")
	if point && fraction == "" || len(fraction) > shareDecimals {
		return 0, fieldErr
	}
	n, err := strconv.ParseUint(whole+fraction+strings.Repeat("0", shareDecimals-len(fraction)), 10, 32)
	if err != nil || whole == "" || n > ShareWhole {
		return 0, fieldErr
	}
	return int64(n), nil
}

// FormatShare returns millionths as a percentage without trailing zeros.
func FormatShare(millionths int64) string {
	s := strconv.FormatInt(millionths/percentMillionths, 10)
	if rest := millionths % percentMillionths; rest > 0 {
		fraction := strconv.FormatInt(percentMillionths+rest, 10)[1:]
		s += "." + strings.TrimRight(fraction, "0")
	}
	return s + "%"
}
