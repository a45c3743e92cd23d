package ingress

import "bytes"

// headScanner follows a request head as its bytes come, to count them and to find its end.
// It takes lines as net/http does: a head ends with the first empty line after another one.
type headScanner struct {
	size  int  // bytes so far
	begun bool // a line that is not empty has ended
	line  int  // bytes of the current line so far
	cr    bool // these bytes are one CR
}

// scan takes bytes and returns how many of them belong to the head, how many lines they end
// and whether the head ends with them.
func (h *headScanner) scan(p []byte) (used, lines int, done bool) {
	for used < len(p) && !done {
		rest := p[used:]
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			h.cr = h.line == 0 && len(rest) == 1 && rest[0] == '\r'
			h.line += len(rest)
			used = len(p)
			break
		}
		length := h.line + end
		empty := length == 0 || length == 1 && (h.cr || rest[0] == '\r')
		done = empty && h.begun
		h.begun = h.begun || !empty
		h.line, h.cr = 0, false
		used += end + 1
		lines++
	}
	h.size += used
	return used, lines, done
}
