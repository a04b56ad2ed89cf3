package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// Line is one parsed log line.
type Line struct {
	Time   time.Time
	Source string // name of the log, and the line's prefix before the JSON object
	Msg    string
	Fields map[string]any // every field but time and msg
}

// Skipped identifies a line that could not be parsed, with the reason.
type Skipped struct {
	Source string
	Number int
	Why    string
}

// maxLineBytes is the longest line that Read accepts.
const maxLineBytes = 1 << 20

// Read parses the lines of one log and returns those that it had to skip; the error comes from the reader or is a
// line longer than maxLineBytes.
func Read(source string, r io.Reader) ([]Line, []Skipped, error) {
	var lines []Line
	var skipped []Skipped
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for n := 1; s.Scan(); n++ {
		l, why := parseLine(source, s.Bytes())
		if why != "" {
			skipped = append(skipped, Skipped{source, n, why})
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

// parseLine parses one line; why is empty on success and otherwise says what is wrong with the line.
func parseLine(source string, b []byte) (l Line, why string) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return l, "no JSON object"
	}
	fields := map[string]any{}
	if err := json.Unmarshal(b[i:], &fields); err != nil {
		return l, "cut or not JSON"
	}
	msg, _ := fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, stringOrEmpty(fields["time"]))
	if msg == "" || err != nil {
		return l, "not a line of this log"
	}
	delete(fields, "msg")
	delete(fields, "time")
	if before := string(bytes.TrimSpace(b[:i])); before != "" {
		source += " " + before
	}
	return Line{Time: at, Source: source, Msg: msg, Fields: fields}, ""
}

// stringOrEmpty returns v if it is a string, and "" otherwise.
func stringOrEmpty(v any) string {
	s, _ := v.(string)
	return s
}
