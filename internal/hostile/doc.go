// Package hostile tests the system's own processes against clients that misbehave: it starts them on
// loopback with lowered limits, lets a small crowd of such clients connect, and checks that the
// process lives, stays within its memory and descriptors, and answers an ordinary request.
package hostile
