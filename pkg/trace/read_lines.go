package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Source string // file, and what stood before the line's object
	Msg    string
	Fields map[string]any // the others
}

// Skipped is a line that was left out.
type Skipped struct {
	Source string
	Number int
	Why    string
}

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// Read takes the lines of one log; the error is that of the reader.
func Read(source string, r io.Reader) ([]Line, []Skipped, error) {
	var lines []Line
	var skipped []Skipped
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for n := 1; s.Scan(); n++ {
		l, why := parse(source, s.Bytes())
		if why != "" {
			skipped = append(skipped, Skipped{source, n, why})
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, s.Err()
}

// parse reads one line; why says what is wrong with it.
func parse(source string, b []byte) (l Line, why string) {
	i := bytes.IndexByte(b, '{')
	if i < 0 {
		return l, "no JSON object"
	}
	fields := map[string]any{}
	if err := json.Unmarshal(b[i:], &fields); err != nil {
		return l, "cut or not JSON"
	}
	msg, _ := fields["msg"].(string)
	at, err := time.Parse(time.RFC3339Nano, text(fields["time"]))
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

// text returns a field's text, or "" if it isn't one.
func text(v any) string {
	s, _ := v.(string)
	return s
}
