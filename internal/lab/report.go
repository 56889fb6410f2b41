package lab

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/lapisvane/lapisvane/internal/lab/explain"
)

// Size of the chart of a report.
const (
	pictureWidth  = 9 * vg.Inch
	pictureHeight = 4 * vg.Inch
)

// lineColors are the colors of the causes in the chart; they repeat if there are more causes.
var lineColors = []color.Color{
	color.RGBA{R: 200, A: 255}, color.RGBA{B: 200, A: 255}, color.RGBA{G: 140, A: 255},
	color.RGBA{R: 200, G: 120, A: 255}, color.RGBA{R: 120, B: 160, A: 255}, color.RGBA{R: 90, G: 90, B: 90, A: 255},
}

// reportCommand writes an HTML page of failed requests by second and cause.
type reportCommand struct {
	Output string `long:"output" description:"HTML file to write" default:"out/report.html"`
	Files  struct {
		Paths []string `positional-arg-name:"LOG" description:"log files; '-' for standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *reportCommand) Execute([]string) error {
	if len(c.Files.Paths) == 0 {
		return fmt.Errorf("at least one log file is required")
	}
	lines, _, err := readLogs(c.Files.Paths)
	if err != nil {
		return err
	}
	seconds := explain.NewJournal(lines).Timeline()
	causes := causesOf(seconds)
	picture, err := drawTimeline(seconds, causes)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(c.Output), 0o755); err != nil {
		return err
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	page := reportPage{Picture: picture, Causes: causes, Seconds: seconds}
	if err := reportTemplate.Execute(file, page); err != nil {
		return err
	}
	results.Info("report.written", "file", c.Output, "lines", len(lines), "seconds", len(seconds), "causes", len(causes))
	return nil
}

// causesOf returns the causes of the failed requests, most frequent first.
func causesOf(seconds []explain.Second) []explain.Cause {
	totals := map[explain.Cause]int{}
	for _, second := range seconds {
		for cause, count := range second.Failed {
			totals[cause] += count
		}
	}
	causes := make([]explain.Cause, 0, len(totals))
	for cause := range totals {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b explain.Cause) int {
		if totals[a] != totals[b] {
			return totals[b] - totals[a]
		}
		return strings.Compare(string(a), string(b))
	})
	return causes
}

// drawTimeline draws a chart as SVG, with a line for each cause.
func drawTimeline(seconds []explain.Second, causes []explain.Cause) (template.HTML, error) {
	figure := plot.New()
	figure.Title.Text = "Requests that failed, by second and cause"
	figure.X.Label.Text = "second"
	figure.Y.Label.Text = "requests"
	figure.Y.Min = 0
	figure.Legend.Top = true
	figure.Add(plotter.NewGrid())
	for index, cause := range causes {
		points := make(plotter.XYs, len(seconds))
		for position, second := range seconds {
			points[position] = plotter.XY{X: second.From.Seconds(), Y: float64(second.Failed[cause])}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = lineColors[index%len(lineColors)]
		figure.Add(line)
		figure.Legend.Add(string(cause), line)
	}
	canvas := vgsvg.New(pictureWidth, pictureHeight)
	figure.Draw(draw.New(canvas))
	var image bytes.Buffer
	if _, err := canvas.WriteTo(&image); err != nil {
		return "", err
	}
	// The SVG contains only numbers and the names of causes, so it needs no
	// escaping.
	return template.HTML(image.String()), nil
}

// reportPage is the data of reportTemplate.
type reportPage struct {
	Picture template.HTML
	Causes  []explain.Cause
	Seconds []explain.Second
}

var reportTemplate = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lapisvane: what failed</title>
<style>body{font:15px/1.5 sans-serif;max-width:70rem;margin:2rem auto;color:#222}
table{border-collapse:collapse}th,td{border:1px solid #ccc;padding:.1rem .6rem;text-align:right}</style></head><body>
<h1>What failed</h1>{{.Picture}}
<table><tr><th>second</th>{{range .Causes}}<th>{{.}}</th>{{end}}</tr>
{{$causes := .Causes}}{{range .Seconds}}{{$failed := .Failed}}<tr><td>{{.From.Seconds}}</td>{{range $causes}}<td>{{index $failed .}}</td>{{end}}</tr>
{{end}}</table></body></html>
`))
