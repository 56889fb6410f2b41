// Package query implements the operators' query and command language: its grammar and the evaluation
// of conditions on the rows of an answer.
//
// The package owns no state; its functions are safe for concurrent use. It parses with participle.
// Invariant: a text that does not parse is refused as a whole with the position of the error, and
// nothing is sent to the daemon.
package query

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Command is one parsed command; exactly one field is set.
type Command struct {
	Show     *Show    `parser:"  @@"`
	Propose  *File    `parser:"| 'propose' @@"`
	Validate *File    `parser:"| 'validate' @@"`
	Diff     *Diff    `parser:"| 'diff' @@"`
	Accept   *Accept  `parser:"| 'accept' @@"`
	Backend  *Backend `parser:"| @@"`
	Wait     *WaitFor `parser:"| 'wait' 'in-force' @@"`
	Help     bool     `parser:"| @'help'"`
	Quit     bool     `parser:"| @('quit' | 'exit')"`
}

// Show is "show KIND [where CONDITION {and CONDITION}]".
type Show struct {
	Kind       string       `parser:"'show' @('versions' | 'proxies' | 'routes' | 'pools' | 'backends' | 'shares' | 'secrets' | 'accounts' | 'proposals')"`
	Conditions []*Condition `parser:"('where' @@ ('and' @@)*)?"`
}

// Condition compares a field with a value.
type Condition struct {
	Field    string `parser:"@Word"`
	Operator string `parser:"@Operator"`
	Value    string `parser:"@(Word | String)"`
}

// File is the path of a proposal file.
type File struct {
	Path string `parser:"@(Word | String)"`
}

// Diff lists the changes between two revisions.
type Diff struct {
	From uint64 `parser:"@Word"`
	To   uint64 `parser:"@Word"`
}

// Accept accepts a stored proposal.
type Accept struct {
	Proposal string `parser:"@Word"`
}

// Backend drains, undrains or retires a back end.
type Backend struct {
	Action  string `parser:"@('drain' | 'undrain' | 'retire')"`
	Backend string `parser:"@Word"`
}

// WaitFor waits for a revision, "wait in-force REVISION [for DURATION]".
type WaitFor struct {
	Revision uint64 `parser:"@Word"`
	Limit    string `parser:"('for' @Word)?"`
}

var commandLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Word", Pattern: `[^\s"=<>!~]+`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Command](participle.Lexer(commandLexer), participle.Unquote("String"))

// MaxCommandBytes is the maximum length of a command, longer than any command with a few conditions.
const MaxCommandBytes = 4096

// Parse parses one command. Errors: OperatorBadCommand with the position of the error.
func Parse(text string) (*Command, error) {
	if len(text) > MaxCommandBytes {
		return nil, result.Errorf(result.OperatorBadCommand, "a command has at most %d characters", MaxCommandBytes)
	}
	command, err := parser.ParseString("", text)
	if err != nil {
		return nil, result.Wrap(result.OperatorBadCommand, err, "%q", text)
	}
	return command, nil
}

// HelpText describes the commands of the operators' query and command language.
const HelpText = `Commands:
  show versions | proxies | routes | pools | backends | shares | secrets | accounts | proposals
       [where FIELD OP VALUE {and FIELD OP VALUE}]   OP: = != < <= > >= ~ (contains)
  validate FILE                check a proposal without storing it
  propose FILE                 store a proposal; prints its id
  accept PROPOSAL              make a proposal the next revision
  diff REVISION REVISION       list the changes between two revisions
  drain | undrain | retire POOL/INSTANCE
  wait in-force REVISION [for DURATION]
  help, quit`
