package peer

// Encode returns a message in the form in which Send queues it, for measurements of its
// size and of the cost of encoding.
func Encode(kind string, body any) ([]byte, error) { return encode(highestVersion, kind, body) }

// Parse reads what Encode returned, as a link does.
func Parse(from string, b []byte) (Message, error) { return decode(from, b) }
