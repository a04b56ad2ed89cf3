package docpage

import (
	"os"
	"strings"
)

// rowStart begins a row whose first cell is a name of the code; heads of tables don't begin so.
const rowStart = "| `"

// Rows returns the rows of a page's tables that begin with a name of the code.
func Rows(path string) ([]string, error) {
	page, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rows []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, rowStart) {
			rows = append(rows, line)
		}
	}
	return rows, nil
}
