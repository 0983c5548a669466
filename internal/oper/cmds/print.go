package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lentildeck/lentildeck/internal/oper/client"
	"github.com/lentildeck/lentildeck/internal/oper/query"
)

// printAnswer prints an answer in the given format: "json", or text for any other.
func printAnswer(out io.Writer, format string, answer client.Answer) error {
	if format == "json" {
		_, err := fmt.Fprintln(out, string(answer.Raw))
		return err
	}
	if answer.Message != "" {
		_, err := fmt.Fprintln(out, answer.Message)
		return err
	}
	return printTable(out, answer)
}

// printMessage prints a message in the given format: as an object if it is "json", or as text for any other.
func printMessage(out io.Writer, format, message string) error {
	if format == "json" {
		return json.NewEncoder(out).Encode(map[string]string{"message": message})
	}
	_, err := fmt.Fprintln(out, message)
	return err
}

// rawRows keeps each row as raw JSON, as a decoded map loses the order of the columns.
type rawRows struct {
	Rows []json.RawMessage `json:"rows"`
}

func printTable(out io.Writer, answer client.Answer) error {
	if len(answer.Rows) == 0 {
		_, err := fmt.Fprintln(out, "(no rows)")
		return err
	}
	var raw rawRows
	if err := json.Unmarshal(answer.Raw, &raw); err != nil {
		return err
	}
	columns, err := keysInOrder(raw.Rows[0])
	if err != nil {
		return err
	}
	t := query.Table{Columns: columns}
	for _, row := range answer.Rows {
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = row[column]
		}
		t.Rows = append(t.Rows, cells)
	}
	return renderTable(out, t)
}

func keysInOrder(object json.RawMessage) ([]string, error) {
	decoder := json.NewDecoder(bytes.NewReader(object))
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	var keys []string
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		keys = append(keys, fmt.Sprint(key))
		if _, err := decoder.Token(); err != nil {
			return nil, err
		}
	}
	return keys, nil
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

// renderTable prints a table without the columns that are empty in every row, and without the column "reason".
func renderTable(out io.Writer, t query.Table) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	visible := nonEmptyColumns(t)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(selectCells(row, visible), "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func nonEmptyColumns(t query.Table) []bool {
	visible := make([]bool, len(t.Columns))
	for _, row := range t.Rows {
		for i, cell := range row {
			visible[i] = visible[i] || (cell != "" && t.Columns[i] != "reason")
		}
	}
	return visible
}

func selectCells(cells []string, visible []bool) []string {
	var selected []string
	for i, cell := range cells {
		if visible[i] {
			selected = append(selected, cell)
		}
	}
	return selected
}
