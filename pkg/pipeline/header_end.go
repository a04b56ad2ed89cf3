package pipeline

// headerEnd finds the end of a request's header in consecutive parts: an empty line that is not the first. Lines end as in net/http, with LF or
// CR LF. Its zero value is at the start of a header.
type headerEnd struct {
	started   bool // a byte other than CR and LF was seen; net/http skips empty lines after some requests
	emptyLine bool // the current line is empty so far
	cr        bool // the current line is one CR so far
}

// next returns the number of bytes of p that belong to the header and whether it ends there.
func (e *headerEnd) next(p []byte) (int, bool) {
	for i, b := range p {
		switch {
		case b == '\n':
			if e.emptyLine && e.started {
				return i + 1, true
			}
			e.emptyLine, e.cr = true, false
		case b == '\r' && e.emptyLine && !e.cr:
			e.cr = true
		default:
			e.started = e.started || b != '\r'
			e.emptyLine, e.cr = false, false
		}
	}
	return len(p), false
}
