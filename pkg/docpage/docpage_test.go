package docpage

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestRowsReturnsRowsOfIdentifiers(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "PAGE.md")
	text := "# Page\n\n| name | help |\n| --- | --- |\n| `a` | first |\ntext with `b`\n| `c` | last |"
	c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	rows, err := Rows(path)
	c.Assert(err, qt.IsNil)
	c.Assert(rows, qt.DeepEquals, []string{"| `a` | first |", "| `c` | last |"})
	_, err = Rows(filepath.Join(t.TempDir(), "none.md"))
	c.Assert(os.IsNotExist(err), qt.IsTrue)
}
