package docpage

import (
	"os"
	"strings"
)

// rowPrefix starts a row whose first cell is an identifier in backquotes; header rows don't start with it.
const rowPrefix = "| `"

// Rows returns the lines of a page that are table rows whose first cell is an identifier in backquotes, in the page's order.
func Rows(path string) ([]string, error) {
	page, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rows []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, rowPrefix) {
			rows = append(rows, line)
		}
	}
	return rows, nil
}
