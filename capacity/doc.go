// Package capacity measures what wardturn's parts cost at several sizes, fits a
// line to each, and works out each role's state, messages, processor time and
// memory at the size expected in two years.
//
// A cost is measured at three or more sizes on one machine. The fit is least
// squares over the sizes; the page says what the fit gives at the large size and
// how far the measured points lie from the line.
package capacity
