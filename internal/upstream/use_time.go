package upstream

import "time"

// typicalSmoothing is the weight of one observation in the typical use time.
const typicalSmoothing = 0.05

// useTime averages how long connections to a server are in use.
type useTime struct {
	// typical is an exponential moving average of the time from acquiring to releasing
	// a connection; 0 before the first observation.
	typical time.Duration
}

// observe adds the time for which a connection was in use.
func (u *useTime) observe(duration time.Duration) {
	if u.typical == 0 {
		u.typical = duration
		return
	}
	u.typical += time.Duration(typicalSmoothing * float64(duration-u.typical))
}
