package capacity

import "math"

// Point is one measured cost.
type Point struct {
	Size float64
	Cost float64
}

// Series is a cost measured at several sizes.
type Series struct {
	Name   string
	Size   string // what the size counts
	Unit   string // of the cost
	Points []Point
}

// Fit is a line through a series.
type Fit struct {
	Base  float64 // cost at size zero
	Slope float64 // cost for each unit of size
	Error float64 // largest distance of a point from the line, as a part of it
}

// Fit returns the line of least squares.
func (s Series) Fit() Fit {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy float64
	for _, p := range s.Points {
		sx += p.Size
		sy += p.Cost
		sxx += p.Size * p.Size
		sxy += p.Size * p.Cost
	}
	den := n*sxx - sx*sx
	f := Fit{}
	if den != 0 {
		f.Slope = (n*sxy - sx*sy) / den
	}
	f.Base = (sy - f.Slope*sx) / n
	for _, p := range s.Points {
		at := f.At(p.Size)
		if at != 0 {
			f.Error = max(f.Error, math.Abs(p.Cost-at)/math.Abs(at))
		}
	}
	return f
}

// At returns the fit's cost at a size.
func (f Fit) At(size float64) float64 {
	return f.Base + f.Slope*size
}
