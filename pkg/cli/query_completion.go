package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const completionHelp = `Completion writes a completion script for bash.

Example:
  source <(rockspoke completion)`

const completionScript = `_rockspoke() {
  local cur="${COMP_WORDS[COMP_CWORD]}"
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "$cur"))
  elif [ "$COMP_CWORD" -eq 2 ]; then
    COMPREPLY=($(compgen -W "service route class policy vm" -- "$cur"))
  else
    COMPREPLY=($(compgen -f -- "$cur"))
  fi
}
complete -F _rockspoke rockspoke
`

// completionCommand returns the completion command.
func completionCommand(e *env) *ffcli.Command {
	return &ffcli.Command{
		Name: "completion", ShortUsage: "rockspoke completion", ShortHelp: "write a completion script for bash",
		LongHelp: completionHelp, FlagSet: e.newFlagSet("rockspoke completion"),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintf(e.stdout, completionScript, strings.Join(commandNames, " "))
			return err
		},
	}
}

// commandNames are the command names, which completion offers for the first word.
var commandNames = []string{
	"apply", "label", "leave", "key-range",
	"get", "status", "history", "diff", "explain", "dump", "top", "trace", "held-back", "completion",
}
