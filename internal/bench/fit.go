package bench

import (
	"maps"
	"slices"
)

// series collects the samples of one quantity.
type series struct{ Series }

func (s *series) add(x float64, repeat int, y float64) {
	s.Samples = append(s.Samples, Sample{X: x, Repeat: repeat, Y: y})
}

// fit computes the line and its spread from the samples.
func (s *series) fit() {
	byX, byRepeat := map[float64][]float64{}, map[int][]Sample{}
	for _, p := range s.Samples {
		byX[p.X] = append(byX[p.X], p.Y)
		byRepeat[p.Repeat] = append(byRepeat[p.Repeat], p)
	}
	var medians []Sample
	s.Sizes = slices.Sorted(maps.Keys(byX))
	for _, x := range s.Sizes {
		medians = append(medians, Sample{X: x, Y: median(byX[x])})
	}
	s.Slope, s.Intercept = leastSquares(medians)
	first := true
	for _, points := range byRepeat {
		slope, intercept := leastSquares(points)
		if first {
			s.SlopeMin, s.SlopeMax, s.InterceptMin, s.InterceptMax = slope, slope, intercept, intercept
			first = false
		}
		s.SlopeMin, s.SlopeMax = min(s.SlopeMin, slope), max(s.SlopeMax, slope)
		s.InterceptMin, s.InterceptMax = min(s.InterceptMin, intercept), max(s.InterceptMax, intercept)
	}
}

// leastSquares returns the line with the smallest sum of squared residuals. It
// centers the points first, which keeps large, close sizes exact.
func leastSquares(points []Sample) (slope, intercept float64) {
	if len(points) == 0 {
		return 0, 0
	}
	var mx, my float64
	for _, p := range points {
		mx += p.X / float64(len(points))
		my += p.Y / float64(len(points))
	}
	var sxy, sxx float64
	for _, p := range points {
		sxy += (p.X - mx) * (p.Y - my)
		sxx += (p.X - mx) * (p.X - mx)
	}
	if sxx == 0 {
		return 0, my
	}
	slope = sxy / sxx
	return slope, my - slope*mx
}

// median returns the middle value, or the mean of the two middle values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	half := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[half]
	}
	return (sorted[half-1] + sorted[half]) / 2
}
