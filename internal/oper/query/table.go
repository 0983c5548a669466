package query

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/oper/view"
)

// Table is an answer with named columns.
type Table struct {
	Columns []string
	Rows    [][]string
}

// MarshalJSON writes the table as one object a row, keys in column order.
func (t Table) MarshalJSON() ([]byte, error) {
	var text strings.Builder
	text.WriteString("[")
	for i, row := range t.Rows {
		if i > 0 {
			text.WriteString(",")
		}
		if err := writeRow(&text, t.Columns, row); err != nil {
			return nil, err
		}
	}
	text.WriteString("]")
	return []byte(text.String()), nil
}

func writeRow(text *strings.Builder, columns, row []string) error {
	text.WriteString("{")
	for i, column := range columns {
		if i > 0 {
			text.WriteString(",")
		}
		pair, err := json.Marshal(row[i])
		if err != nil {
			return err
		}
		fmt.Fprintf(text, "%q:%s", column, pair)
	}
	text.WriteString("}")
	return nil
}

// Run answers a question over the rows of a snapshot.
func Run(s *Select, snapshot *view.Snapshot, instances []view.Instance) (Table, error) {
	switch s.Table {
	case "jobs":
		return evaluate(s, snapshot.Jobs)
	case "workers":
		return evaluate(s, snapshot.Workers)
	case "centres":
		return evaluate(s, snapshot.DataCentres)
	case "guarantees":
		return evaluate(s, snapshot.Guarantees)
	default:
		return evaluate(s, instances)
	}
}

// evaluate filters, sorts and cuts rows of any struct type; its JSON names are the columns.
func evaluate[T any](s *Select, items []T) (Table, error) {
	columns := columnsOf(reflect.TypeFor[T]())
	if err := checkFields(s, columns); err != nil {
		return Table{}, err
	}
	rows := make([][]string, 0, len(items))
	for _, item := range items {
		row := cells(reflect.ValueOf(item))
		if keep(s, columns, row) {
			rows = append(rows, row)
		}
	}
	if s.Order != nil {
		at := indexOf(columns, s.Order.Field)
		sort.SliceStable(rows, func(i, j int) bool {
			if s.Order.Desc {
				i, j = j, i
			}
			return compare(rows[i][at], rows[j][at]) < 0
		})
	}
	if s.Limit != nil && *s.Limit < len(rows) {
		rows = rows[:*s.Limit]
	}
	return Table{Columns: columns, Rows: rows}, nil
}

func columnsOf(t reflect.Type) []string {
	columns := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		columns = append(columns, name)
	}
	return columns
}

func cells(v reflect.Value) []string {
	row := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		row = append(row, cell(v.Field(i).Interface()))
	}
	return row
}

func cell(value any) string {
	switch v := value.(type) {
	case []string:
		return strings.Join(v, " ")
	case time.Time:
		return v.UTC().Format(time.RFC3339)
	case time.Duration:
		return strconv.FormatInt(int64(v), 10)
	default:
		return fmt.Sprint(v)
	}
}

func indexOf(columns []string, field string) int {
	return slices.IndexFunc(columns, func(c string) bool { return strings.EqualFold(c, field) })
}

func checkFields(s *Select, columns []string) error {
	for _, c := range s.Where {
		if indexOf(columns, c.Field) < 0 {
			return &FieldError{Table: s.Table, Field: c.Field, Known: columns}
		}
	}
	if s.Order != nil && indexOf(columns, s.Order.Field) < 0 {
		return &FieldError{Table: s.Table, Field: s.Order.Field, Known: columns}
	}
	if s.In != "" && indexOf(columns, "dataCentre") < 0 {
		return &FieldError{Table: s.Table, Field: "dataCentre", Known: columns}
	}
	return nil
}

func keep(s *Select, columns, row []string) bool {
	if s.In != "" && !strings.EqualFold(row[indexOf(columns, "dataCentre")], s.In) {
		return false
	}
	for _, c := range s.Where {
		if !holds(row[indexOf(columns, c.Field)], c.Op, c.Value) {
			return false
		}
	}
	return true
}

func holds(have, op, want string) bool {
	order := compare(have, want)
	switch op {
	case "=":
		return order == 0 || strings.EqualFold(have, want)
	case "!=":
		return !strings.EqualFold(have, want)
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	default:
		return strings.Contains(strings.ToLower(have), strings.ToLower(want))
	}
}

// compare orders numbers by size and everything else by text.
func compare(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	if errX == nil && errY == nil {
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	}
	return strings.Compare(a, b)
}

// FieldError says that a table has no such field.
type FieldError struct {
	Table string
	Field string
	Known []string
}

// Error lists the fields and the nearest one.
func (e *FieldError) Error() string {
	text := fmt.Sprintf("%s have no field %q; fields: %s", e.Table, e.Field, strings.Join(e.Known, ", "))
	if near := nearest(e.Field, e.Known); near != "" {
		text += fmt.Sprintf("; did you mean %q?", near)
	}
	return text
}
