package screener

import "github.com/lagooncleat/lagooncleat/pkg/identifier"

// head counts the bytes and lines of a request's head as they arrive.
type head struct {
	size  identifier.Bytes
	lines int
	// line is the number of characters of the current line, without CR.
	line int
	// complete is set by the empty line that ends the head. Empty lines before the request line don't.
	complete, begun bool
}

// scan adds received bytes. It ignores those that follow the end of the head.
func (h *head) scan(received []byte) {
	for _, b := range received {
		if h.complete {
			return
		}
		h.size++
		switch b {
		case '\r':
		case '\n':
			h.lines++
			h.complete = h.begun && h.line == 0
			h.line = 0
		default:
			h.line++
			h.begun = true
		}
	}
}
