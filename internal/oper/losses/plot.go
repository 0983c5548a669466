package losses

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// plotWidth, plotHeight and barWidth are the sizes of the plot in pixels; barSpacing is the space that one window takes.
const (
	plotWidth  = 400
	plotHeight = 500
	barWidth   = 22
	barSpacing = 40
)

// Plot writes a stacked bar chart of the lateness in seconds, by cause and window of submission, as SVG.
func (r *Report) Plot(out io.Writer) error {
	bars := make([]chart.StackedBar, 0, len(r.Windows))
	for _, window := range r.Windows {
		bar := chart.StackedBar{Name: window.Name, Width: barWidth}
		for _, cause := range CauseValues() {
			if seconds := r.lateness[window.Name][cause]; seconds > 0 {
				bar.Values = append(bar.Values, chart.Value{Value: seconds, Label: cause.String(), Style: chart.Style{FillColor: chart.GetDefaultColor(int(cause))}})
			}
		}
		if len(bar.Values) > 0 {
			bars = append(bars, bar)
		}
	}
	if len(bars) == 0 {
		return &NothingLateError{}
	}
	graph := chart.StackedBarChart{Title: "Lateness by cause and window of submission", Width: plotWidth + barSpacing*len(bars), Height: plotHeight, BarSpacing: barSpacing - barWidth, Bars: bars}
	return graph.Render(chart.SVG, out)
}

// NothingLateError means that no job was late, so that there is nothing to plot.
type NothingLateError struct{}

// Error returns a fixed text.
func (*NothingLateError) Error() string { return "no job was late; there is nothing to plot" }
