package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one parsed line; exactly one field is not nil.
type Statement struct {
	Select  *Select  `parser:"  @@"`
	Why     *Why     `parser:"| @@"`
	Show    *Show    `parser:"| @@"`
	Admit   *Admit   `parser:"| @@"`
	Cancel  *Cancel  `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Restore *Restore `parser:"| @@"`
}

// Select queries the rows of one table.
type Select struct {
	Table string       `parser:"@('jobs'|'workers'|'centres'|'instances'|'guarantees')"`
	In    string       `parser:"( 'in' @(Word|String) )?"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order       `parser:"@@?"`
	Limit *int         `parser:"( 'limit' @Word )?"`
}

// Condition compares one field of a row with a value.
type Condition struct {
	Field string `parser:"@Word"`
	Op    string `parser:"@('='|'!='|'<='|'>='|'<'|'>'|'~')"`
	Value string `parser:"@(Word|String)"`
}

// Order sorts rows by one field, ascending unless Desc is set.
type Order struct {
	Field string `parser:"'order' 'by' @Word"`
	Desc  bool   `parser:"( @'desc' | 'asc' )?"`
}

// Why requests the reason why a job is waiting.
type Why struct {
	Job string `parser:"'why' @(Word|String)"`
}

// Show lists the active configuration of every instance; both words return the same rows.
type Show struct {
	What string `parser:"'show' @('config'|'status')"`
}

// Admit adds a held job to the queue.
type Admit struct {
	Job string `parser:"'admit' @(Word|String)"`
}

// Cancel cancels a job.
type Cancel struct {
	Job string `parser:"'cancel' @(Word|String)"`
}

// Drain takes a data centre out of service; Within is the time that its jobs have to leave.
type Drain struct {
	DataCentre string `parser:"'drain' @(Word|String)"`
	Within     string `parser:"( 'within' @(Word|String) )?"`
}

// Restore returns a drained data centre to service.
type Restore struct {
	DataCentre string `parser:"'restore' @(Word|String)"`
}

var lexerRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:/#-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexerRules), participle.Unquote("String"), participle.CaseInsensitive("Word"), participle.UseLookahead(2),
)

// maxLineBytes is the maximum length of a statement.
const maxLineBytes = 4096

// keywords are the words that are suggested for a misspelled one.
var keywords = []string{
	"jobs", "workers", "centres", "instances", "guarantees", "in", "where", "and", "order", "by", "asc", "desc", "limit",
	"why", "show", "config", "status", "admit", "cancel", "drain", "within", "restore",
}

// Parse parses one statement; every error is a *SyntaxError.
func Parse(line string) (*Statement, error) {
	if len(line) > maxLineBytes {
		return nil, &SyntaxError{Column: maxLineBytes, Problem: fmt.Sprintf("a line may have %d characters at most", maxLineBytes)}
	}
	if strings.TrimSpace(line) == "" {
		return nil, &SyntaxError{Column: 1, Problem: "the line is empty; try `jobs`, `workers in plovdiv` or `why JOB`"}
	}
	statement, err := parser.ParseString("", line)
	if err != nil {
		return nil, toSyntaxError(line, err)
	}
	return statement, nil
}

// toSyntaxError converts a parser error to a column, the problem and the nearest keyword.
func toSyntaxError(line string, err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		column := unexpected.Position().Column
		problem := unexpected.Message()
		if column == 1 {
			problem += "; expected jobs, workers, centres, instances, guarantees, why, show, admit, cancel, drain or restore"
		}
		return &SyntaxError{Column: column, Problem: problem, Nearest: nearestWord(wordAt(line, column), keywords)}
	}
	var parserError participle.Error
	if errors.As(err, &parserError) {
		column := parserError.Position().Column
		return &SyntaxError{Column: column, Problem: parserError.Message(), Nearest: nearestWord(wordAt(line, column), keywords)}
	}
	return &SyntaxError{Column: 1, Problem: err.Error()}
}

func wordAt(line string, column int) string {
	if column < 1 || column > len(line) {
		return ""
	}
	fields := strings.Fields(line[column-1:])
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}

// maxSuggestionDistance is the maximum edit distance (Levenshtein) between a word and its suggestion.
const maxSuggestionDistance = 3

func nearestWord(word string, known []string) string {
	best, distance := "", maxSuggestionDistance+1
	if word == "" {
		return ""
	}
	for _, candidate := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(word), strings.ToLower(candidate)); d < distance {
			best, distance = candidate, d
		}
	}
	return best
}

// SyntaxError reports the column and the problem of an invalid statement, and the nearest keyword if there is one.
type SyntaxError struct {
	Column  int
	Problem string
	Nearest string
}

// Error returns column, problem and suggestion in one line.
func (e *SyntaxError) Error() string {
	text := fmt.Sprintf("column %d: %s", e.Column, e.Problem)
	if e.Nearest != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Nearest)
	}
	return text
}
