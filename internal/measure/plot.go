package measure

// Plot writes SVG plots of the results to a directory.
func Plot(string, []Result) error { return nil }
