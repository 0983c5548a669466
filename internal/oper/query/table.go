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

// Table is the result of a query: column names and rows of cells in the same order.
type Table struct {
	Columns []string
	Rows    [][]string
}

// MarshalJSON encodes the table as an array with one object per row, keys in column order.
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

// Run evaluates a query; the rows of the instances table come from instances, those of all others from snapshot.
func Run(s *Select, snapshot *view.Snapshot, instances []view.Instance) (Table, error) {
	switch s.Table {
	case "jobs":
		return selectRows(s, snapshot.Jobs)
	case "workers":
		return selectRows(s, snapshot.Workers)
	case "centres":
		return selectRows(s, snapshot.DataCentres)
	case "guarantees":
		return selectRows(s, snapshot.Guarantees)
	default:
		return selectRows(s, instances)
	}
}

// selectRows filters, sorts and limits items of any struct type; the JSON names of its fields are the columns.
func selectRows[T any](s *Select, items []T) (Table, error) {
	columns := columnsOf(reflect.TypeFor[T]())
	if err := checkFields(s, columns); err != nil {
		return Table{}, err
	}
	rows := make([][]string, 0, len(items))
	for _, item := range items {
		row := formatRow(reflect.ValueOf(item))
		if rowMatches(s, columns, row) {
			rows = append(rows, row)
		}
	}
	if s.Order != nil {
		column := indexOf(columns, s.Order.Field)
		sort.SliceStable(rows, func(i, j int) bool {
			if s.Order.Desc {
				i, j = j, i
			}
			return compare(rows[i][column], rows[j][column]) < 0
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

func formatRow(v reflect.Value) []string {
	row := make([]string, 0, v.NumField())
	for i := range v.NumField() {
		row = append(row, formatCell(v.Field(i).Interface()))
	}
	return row
}

func formatCell(value any) string {
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

func rowMatches(s *Select, columns, row []string) bool {
	if s.In != "" && !strings.EqualFold(row[indexOf(columns, "dataCentre")], s.In) {
		return false
	}
	for _, c := range s.Where {
		if !conditionHolds(row[indexOf(columns, c.Field)], c.Op, c.Value) {
			return false
		}
	}
	return true
}

func conditionHolds(value, op, operand string) bool {
	order := compare(value, operand)
	switch op {
	case "=":
		return order == 0 || strings.EqualFold(value, operand)
	case "!=":
		return !strings.EqualFold(value, operand)
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	case ">=":
		return order >= 0
	default:
		return strings.Contains(strings.ToLower(value), strings.ToLower(operand))
	}
}

// compare compares two cells as numbers if both are numbers, otherwise as text.
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

// FieldError reports a field that the table does not have.
type FieldError struct {
	Table string
	Field string
	Known []string
}

// Error lists the known fields and suggests the nearest one.
func (e *FieldError) Error() string {
	text := fmt.Sprintf("%s have no field %q; fields: %s", e.Table, e.Field, strings.Join(e.Known, ", "))
	if suggestion := nearestWord(e.Field, e.Known); suggestion != "" {
		text += fmt.Sprintf("; did you mean %q?", suggestion)
	}
	return text
}
