package lab

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/rockspoke/rockspoke/pkg/keys"
)

// HolderError reports a holder that keys can't be made for.
type HolderError struct{ Text string }

// Error shows the holder and the form.
func (e *HolderError) Error() string {
	return fmt.Sprintf("%q isn't NAME@ZONE for a VM, NAME:read-only or NAME:read-write for an operator", e.Text)
}

// keysCommand makes a test set of keys.
func keysCommand(stdout, stderr io.Writer) *ffcli.Command {
	fs := newFlags("rockspoke-lab keys", stderr)
	dir := fs.String("dir", "keys", "folder to write to")
	return &ffcli.Command{
		Name: "keys", ShortUsage: "rockspoke-lab keys [--dir DIR] HOLDER ...", FlagSet: fs,
		ShortHelp: "make a test authority, and keys for VMs (NAME@ZONE) and operators (NAME:read-write)",
		Exec: func(_ context.Context, args []string) error {
			var holders []keys.Identity
			for _, a := range args {
				id, err := parseHolder(a)
				if err != nil {
					return err
				}
				holders = append(holders, id)
			}
			authority, err := keys.NewAuthority(time.Now())
			if err != nil {
				return err
			}
			if err := authority.WriteFiles(*dir, holders); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "keys of %d holders are in %s\n", len(holders), *dir)
			return nil
		},
	}
}

func parseHolder(s string) (keys.Identity, error) {
	if name, zone, ok := strings.Cut(s, "@"); ok && name != "" && zone != "" {
		return keys.Identity{Role: keys.RoleVM, Name: name, Zone: zone}, nil
	}
	name, role, ok := strings.Cut(s, ":")
	id := keys.Identity{Role: keys.Role(role), Name: name}
	if !ok || name == "" || (id.Role != keys.RoleReadOnly && id.Role != keys.RoleReadWrite) {
		return keys.Identity{}, &HolderError{s}
	}
	return id, nil
}
