package upstream

import "time"

// typicalSmoothing weighs one observation in the typical time of use.
const typicalSmoothing = 0.05

// use knows how long connections of a server are used for.
type useTime struct {
	// typical time from taking a connection to giving it back; 0 before the first.
	typical time.Duration
}

// observe takes note of how long a connection was used.
func (u *useTime) observe(took time.Duration) {
	if u.typical == 0 {
		u.typical = took
		return
	}
	u.typical += time.Duration(typicalSmoothing * float64(took-u.typical))
}
