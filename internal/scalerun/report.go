package scalerun

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"html/template"
	"image/color"
	"os"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/lapisvane/lapisvane/internal/distbench"
	"github.com/lapisvane/lapisvane/internal/experiment"
)

// ReportCommand fits slopes over scale runs and writes them with plots.
type ReportCommand struct {
	Input  []string `long:"input" description:"figures of a scale run (JSON); may be given several times" required:"true"`
	Lines  string   `long:"baselines" description:"figures of lapislab convergence (JSON)"`
	Output string   `long:"output" description:"HTML file to write" default:"out/report.html"`
	Slopes string   `long:"slopes" description:"JSON file for the slopes" default:"out/slopes.json"`
	Target int      `long:"target" description:"daemons to extrapolate to" default:"19000"`
}

// Slope is a linear fit of a figure over the number of daemons.
type Slope struct {
	Figure    string    `json:"figure"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Intercept float64   `json:"intercept"`
	PerNode   float64   `json:"per_node"`
	// Residuals are the measured values less those of the fit.
	Residuals []float64 `json:"residuals"`
	RSquared  float64   `json:"r_squared"`
	AtTarget  float64   `json:"at_target"`
}

// reportData is what the page shows.
type reportData struct {
	Runs   []ScaleFigures
	Slopes []Slope
	Plots  []template.HTML
	Target int
}

// Execute implements flags.Commander.
func (c *ReportCommand) Execute([]string) error {
	data := reportData{Target: c.Target}
	for _, path := range c.Input {
		figures, err := ReadScaleFigures(path)
		if err != nil {
			return err
		}
		data.Runs = append(data.Runs, figures)
	}
	slices.SortFunc(data.Runs, func(a, b ScaleFigures) int { return cmp.Compare(a.Hollow, b.Hollow) })
	data.Slopes = fitAll(data.Runs, c.Target)
	for _, slope := range data.Slopes {
		experiment.Results.Info("report.slope", "figure", slope.Figure, "intercept", slope.Intercept, "per_node", slope.PerNode,
			"r_squared", slope.RSquared, "at_target", slope.AtTarget, "sizes", len(slope.Sizes))
	}
	if err := c.plotAll(&data); err != nil {
		return err
	}
	if err := experiment.WriteIndented(c.Slopes, data.Slopes); err != nil {
		return err
	}
	var page bytes.Buffer
	if err := reportPage.Execute(&page, data); err != nil {
		return err
	}
	return os.WriteFile(c.Output, page.Bytes(), 0o644)
}

// ReadScaleFigures reads what a scale run stored.
func ReadScaleFigures(path string) (ScaleFigures, error) {
	var figures ScaleFigures
	content, err := os.ReadFile(path)
	if err != nil {
		return figures, err
	}
	if err := json.Unmarshal(content, &figures); err != nil {
		return figures, fmt.Errorf("%s: %w", path, err)
	}
	return figures, nil
}

// fitAll fits every figure that capacity is worked out from.
func fitAll(runs []ScaleFigures, target int) []Slope {
	figures := []struct {
		name  string
		value func(ScaleFigures) float64
	}{
		{"p99_convergence_ms_steady", func(f ScaleFigures) float64 { return f.P99Millis }},
		{"p99_convergence_ms_herd", func(f ScaleFigures) float64 { return f.HerdP99Millis }},
		{"leaf_bytes_per_second", roleFigure("leaf", func(r RoleFigures) float64 { return r.MeanBytesPerSecond })},
		{"relay_max_bytes_per_second", roleFigure("relay", func(r RoleFigures) float64 { return r.MaxBytesPerSecond })},
		{"reader_max_bytes_per_second", roleFigure("reader", func(r RoleFigures) float64 { return r.MaxBytesPerSecond })},
		{"reader_frames_per_second", roleFigure("reader", func(r RoleFigures) float64 { return r.MeanFramesPerSecond })},
		{"relay_frames_per_second", roleFigure("relay", func(r RoleFigures) float64 { return r.MeanFramesPerSecond })},
		{"leaf_frames_per_second", roleFigure("leaf", func(r RoleFigures) float64 { return r.MeanFramesPerSecond })},
		{"relay_bundles", roleFigure("relay", func(r RoleFigures) float64 { return r.MeanBundles })},
		{"relay_endpoints", roleFigure("relay", func(r RoleFigures) float64 { return r.MeanEndpoints })},
		{"reader_endpoints", roleFigure("reader", func(r RoleFigures) float64 { return r.MeanEndpoints })},
		{"real_reader_core_percent", func(f ScaleFigures) float64 { return f.MaxNodeCorePercent }},
		{"real_reader_resident_mb", steadyResident},
		{"hollow_heap_bytes_per_node", func(f ScaleFigures) float64 { return f.HollowHeapPerNode }},
		{"source_requests_per_second", func(f ScaleFigures) float64 { return steadyOf(f).SourceRequests }},
		{"hollow_cores", func(f ScaleFigures) float64 { return steadyOf(f).ProcessorPerSec }},
	}
	slopes := make([]Slope, 0, len(figures))
	for _, figure := range figures {
		slope := Slope{Figure: figure.name}
		for _, run := range runs {
			slope.Sizes = append(slope.Sizes, float64(run.Hollow+run.Real))
			slope.Values = append(slope.Values, figure.value(run))
		}
		slope.fit(float64(target))
		slopes = append(slopes, slope)
	}
	return slopes
}

func (s *Slope) fit(target float64) {
	if len(s.Sizes) < 2 {
		return
	}
	s.Intercept, s.PerNode = stat.LinearRegression(s.Sizes, s.Values, nil, false)
	s.RSquared = stat.RSquared(s.Sizes, s.Values, nil, s.Intercept, s.PerNode)
	for index, size := range s.Sizes {
		s.Residuals = append(s.Residuals, s.Values[index]-s.Intercept-s.PerNode*size)
	}
	s.AtTarget = s.Intercept + s.PerNode*target
}

func steadyOf(figures ScaleFigures) PhaseFigures {
	for _, phase := range figures.Phases {
		if phase.Phase == "steady" {
			return phase
		}
	}
	return PhaseFigures{}
}

func steadyResident(figures ScaleFigures) float64 {
	most := 0.0
	for _, node := range figures.RealNodes {
		if node.Phase == "steady" {
			most = max(most, node.ResidentMB)
		}
	}
	return most
}

func roleFigure(role string, value func(RoleFigures) float64) func(ScaleFigures) float64 {
	return func(figures ScaleFigures) float64 { return value(steadyOf(figures).Roles[role]) }
}

// plotAll draws the figures.
func (c *ReportCommand) plotAll(data *reportData) error {
	for _, phase := range []string{"steady", "herd"} {
		drawn, err := plotConvergence(data.Runs, phase)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, drawn)
	}
	groups := []struct {
		title, unit string
		figures     []string
	}{
		{"Control bytes by role, steady phase", "bytes per second", []string{"leaf_bytes_per_second", "relay_max_bytes_per_second", "reader_max_bytes_per_second"}},
		{"p99 convergence", "ms", []string{"p99_convergence_ms_steady", "p99_convergence_ms_herd"}},
		{"Reader: share of a core, control only", "percent", []string{"real_reader_core_percent"}},
	}
	for _, group := range groups {
		drawn, err := plotSlopes(data.Slopes, group.title, group.unit, group.figures)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, drawn)
	}
	if c.Lines == "" {
		return nil
	}
	drawn, err := plotBaselines(c.Lines)
	data.Plots = append(data.Plots, drawn)
	return err
}

var lineColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 39, B: 40, A: 255},
	color.RGBA{R: 44, G: 160, B: 44, A: 255}, color.RGBA{R: 148, G: 103, B: 189, A: 255}, color.RGBA{R: 255, G: 127, B: 14, A: 255},
}

// plotConvergence draws the cumulative distribution of convergence of a phase.
func plotConvergence(runs []ScaleFigures, phase string) (template.HTML, error) {
	figure := newPlot("Convergence, "+phase+" phase", "ms from acceptance to force", "part of proxies and changes")
	for index, run := range runs {
		for _, measured := range run.Phases {
			if measured.Phase != phase || measured.Convergence == nil {
				continue
			}
			line := cumulative(hdrhistogram.Import(measured.Convergence))
			if err := addLine(figure, fmt.Sprintf("%d daemons", run.Hollow+run.Real), line, index); err != nil {
				return "", err
			}
		}
	}
	return render(figure)
}

func cumulative(histogram *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for percent := 0.0; percent <= 100; percent += 0.5 {
		points = append(points, plotter.XY{X: experiment.Millis(histogram.ValueAtQuantile(percent)), Y: percent / 100})
	}
	return points
}

func plotSlopes(slopes []Slope, title, unit string, names []string) (template.HTML, error) {
	figure := newPlot(title, "daemons", unit)
	for index, name := range names {
		for _, slope := range slopes {
			if slope.Figure != name {
				continue
			}
			var points plotter.XYs
			for position, size := range slope.Sizes {
				points = append(points, plotter.XY{X: size, Y: slope.Values[position]})
			}
			if err := addLine(figure, name, points, index); err != nil {
				return "", err
			}
		}
	}
	return render(figure)
}

// plotBaselines draws convergence of the strategies.
func plotBaselines(path string) (template.HTML, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var strategies []distbench.StrategyFigures
	if err := json.Unmarshal(content, &strategies); err != nil {
		return "", err
	}
	figure := newPlot("Convergence by strategy, on one machine", "ms from acceptance to force", "part of proxies and changes")
	for index, strategy := range strategies {
		label := fmt.Sprintf("%s (%s), %.0f bytes a change and proxy", strategy.Strategy, strategy.Profile, strategy.BytesPerChange)
		if err := addLine(figure, label, cumulative(hdrhistogram.Import(strategy.Convergence)), index); err != nil {
			return "", err
		}
	}
	return render(figure)
}

func newPlot(title, x, y string) *plot.Plot {
	figure := plot.New()
	figure.Title.Text = title
	figure.X.Label.Text = x
	figure.Y.Label.Text = y
	figure.Y.Min = 0
	figure.Legend.Top = false
	figure.Add(plotter.NewGrid())
	return figure
}

func addLine(figure *plot.Plot, label string, points plotter.XYs, index int) error {
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	line.Color = lineColors[index%len(lineColors)]
	line.Width = vg.Points(1.5)
	marks.Color = line.Color
	marks.Radius = vg.Points(1)
	figure.Add(line, marks)
	figure.Legend.Add(label, line)
	return nil
}

func render(figure *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(7*vg.Inch, 4*vg.Inch)
	figure.Draw(draw.New(canvas))
	var image bytes.Buffer
	if _, err := canvas.WriteTo(&image); err != nil {
		return "", err
	}
	// The picture is made here from numbers only, so it needs no escaping.
	return template.HTML(image.String()), nil
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>lapisvane scale report</title>
<style>body{font:15px/1.5 sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}th,td{border:1px solid #ccc;padding:.2rem .6rem;text-align:right}
th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}.bad{color:#b00}</style></head><body>
<h1>lapisvane scale report</h1>
<h2>Runs</h2><table><tr><th>daemons</th><th>p99 steady ms</th><th>p99 herd ms</th><th>busiest node B/s</th><th>core %</th><th>memory MB</th><th>source watches</th><th>violations</th></tr>
{{range .Runs}}<tr><td>{{.Hollow}} hollow, {{.Real}} real</td><td>{{printf "%.0f" .P99Millis}}</td><td>{{printf "%.0f" .HerdP99Millis}}</td>
<td>{{printf "%.0f" .MaxNodeBytesPerSec}}</td><td>{{printf "%.1f" .MaxNodeCorePercent}}</td><td>{{printf "%.0f" .MaxNodeMemoryMB}}</td><td>{{.SourceReadersPeak}}</td>
<td{{if .Violations}} class="bad"{{end}}>{{len .Violations}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
<h2>Slopes</h2><table><tr><th>figure</th><th>intercept</th><th>per daemon</th><th>R²</th><th>at {{.Target}}</th></tr>
{{range .Slopes}}<tr><td>{{.Figure}}</td><td>{{printf "%.2f" .Intercept}}</td><td>{{printf "%.5f" .PerNode}}</td><td>{{printf "%.2f" .RSquared}}</td><td>{{printf "%.1f" .AtTarget}}</td></tr>{{end}}</table>
<p>Straight lines through runs on one machine, whose processors all daemons share; what is extrapolated is said in docs/CAPACITY.md.</p>
</body></html>
`))
