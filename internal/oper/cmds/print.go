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

// show prints an answer as the format asks.
func show(out io.Writer, format string, answer client.Answer) error {
	if format == "json" {
		_, err := fmt.Fprintln(out, string(answer.Raw))
		return err
	}
	if answer.Message != "" {
		_, err := fmt.Fprintln(out, answer.Message)
		return err
	}
	return table(out, answer)
}

// rawRows keeps the order of the columns, which a map would lose.
type rawRows struct {
	Rows []json.RawMessage `json:"rows"`
}

func table(out io.Writer, answer client.Answer) error {
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
	return render(out, t)
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

// columnGap is the space between two columns, in characters.
const columnGap = 2

// render prints a table, leaving out columns that are empty in every row.
func render(out io.Writer, t query.Table) error {
	writer := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	keep := filled(t)
	for _, row := range append([][]string{t.Columns}, t.Rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(pick(row, keep), "\t")); err != nil {
			return err
		}
	}
	return writer.Flush()
}

func filled(t query.Table) []bool {
	keep := make([]bool, len(t.Columns))
	for _, row := range t.Rows {
		for i, cell := range row {
			keep[i] = keep[i] || (cell != "" && t.Columns[i] != "reason")
		}
	}
	return keep
}

func pick(cells []string, keep []bool) []string {
	var kept []string
	for i, cell := range cells {
		if keep[i] {
			kept = append(kept, cell)
		}
	}
	return kept
}
