package peer

// Encode returns a message encoded as Send queues it. It serves to measure the size of
// messages and the cost of encoding.
func Encode(kind string, body any) ([]byte, error) { return encode(highestVersion, kind, body) }

// Parse decodes a message that Encode returned, as a link does on receipt.
func Parse(from string, b []byte) (Message, error) { return decode(from, b) }
