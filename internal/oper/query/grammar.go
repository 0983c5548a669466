package query

import (
	"errors"
	"fmt"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is one line of the language; exactly one field is set.
type Statement struct {
	Select  *Select  `parser:"  @@"`
	Why     *Why     `parser:"| @@"`
	Show    *Show    `parser:"| @@"`
	Admit   *Admit   `parser:"| @@"`
	Cancel  *Cancel  `parser:"| @@"`
	Drain   *Drain   `parser:"| @@"`
	Restore *Restore `parser:"| @@"`
}

// Select asks for rows.
type Select struct {
	Table string       `parser:"@('jobs'|'workers'|'centres'|'instances'|'guarantees')"`
	In    string       `parser:"( 'in' @(Word|String) )?"`
	Where []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Order *Order       `parser:"@@?"`
	Limit *int         `parser:"( 'limit' @Word )?"`
}

// Condition compares one field of a row.
type Condition struct {
	Field string `parser:"@Word"`
	Op    string `parser:"@('='|'!='|'<='|'>='|'<'|'>'|'~')"`
	Value string `parser:"@(Word|String)"`
}

// Order sorts rows.
type Order struct {
	Field string `parser:"'order' 'by' @Word"`
	Desc  bool   `parser:"( @'desc' | 'asc' )?"`
}

// Why asks why a job waits.
type Why struct {
	Job string `parser:"'why' @(Word|String)"`
}

// Show asks for the configuration in force on every instance.
type Show struct {
	What string `parser:"'show' @('config'|'status')"`
}

// Admit lets a held job into the queue.
type Admit struct {
	Job string `parser:"'admit' @(Word|String)"`
}

// Cancel ends a job.
type Cancel struct {
	Job string `parser:"'cancel' @(Word|String)"`
}

// Drain takes a data centre out of service.
type Drain struct {
	DataCentre string `parser:"'drain' @(Word|String)"`
	Within     string `parser:"( 'within' @(Word|String) )?"`
}

// Restore brings a data centre back.
type Restore struct {
	DataCentre string `parser:"'restore' @(Word|String)"`
}

var rules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Word", Pattern: `[A-Za-z0-9_][A-Za-z0-9_.:/#-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(rules), participle.Unquote("String"), participle.CaseInsensitive("Word"), participle.UseLookahead(2),
)

// maxLine bounds a statement.
const maxLine = 4096

// keywords are the words that a mistake may have been meant as.
var keywords = []string{
	"jobs", "workers", "centres", "instances", "guarantees", "in", "where", "and", "order", "by", "asc", "desc", "limit",
	"why", "show", "config", "status", "admit", "cancel", "drain", "within", "restore",
}

// Parse reads one statement.
func Parse(line string) (*Statement, error) {
	if len(line) > maxLine {
		return nil, &SyntaxError{Column: maxLine, Problem: fmt.Sprintf("a line may have %d characters at most", maxLine)}
	}
	if strings.TrimSpace(line) == "" {
		return nil, &SyntaxError{Column: 1, Problem: "the line is empty; try `jobs`, `workers in plovdiv` or `why JOB`"}
	}
	statement, err := parser.ParseString("", line)
	if err != nil {
		return nil, explain(line, err)
	}
	return statement, nil
}

// explain turns a parser's error into a position, what was expected and the nearest word.
func explain(line string, err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		column := unexpected.Position().Column
		problem := unexpected.Message()
		if column == 1 {
			problem += "; expected jobs, workers, centres, instances, guarantees, why, show, admit, cancel, drain or restore"
		}
		return &SyntaxError{Column: column, Problem: problem, Nearest: nearest(wordAt(line, column), keywords)}
	}
	var at participle.Error
	if errors.As(err, &at) {
		column := at.Position().Column
		return &SyntaxError{Column: column, Problem: at.Message(), Nearest: nearest(wordAt(line, column), keywords)}
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

// nearestLimit is how many letters may differ for a word to be suggested.
const nearestLimit = 3

func nearest(word string, known []string) string {
	best, distance := "", nearestLimit+1
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

// SyntaxError says where a line is wrong, what was expected, and which word may have been meant.
type SyntaxError struct {
	Column  int
	Problem string
	Nearest string
}

// Error returns all of it in one line.
func (e *SyntaxError) Error() string {
	text := fmt.Sprintf("column %d: %s", e.Column, e.Problem)
	if e.Nearest != "" {
		text += fmt.Sprintf("; did you mean %q?", e.Nearest)
	}
	return text
}
