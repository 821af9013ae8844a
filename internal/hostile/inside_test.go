package hostile

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/savoryramp/savoryramp/internal/budget"
)

// The smallest documented VM, and its part of 4,000 sessions in a fleet of 36.
const (
	smallestMemoryMB    = 184
	smallestDescriptors = 4200
	sessionsOfSmallest  = 111
)

// acts returns how often each limit of a VM has acted.
func (v *vm) acts(t *testing.T) map[budget.Reason]int64 {
	t.Helper()
	client := &http.Client{Timeout: attemptTimeout}
	response, err := client.Get("http://" + v.control() + "/state")
	assert.NilError(t, err)
	defer response.Body.Close()
	var state struct{ Budget budget.State }
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&state))
	assert.Equal(t, state.Budget.Max[budget.Callers] >= sessionsOfSmallest, true)
	return state.Budget.Acts
}

// Clients inside the documented limits must not meet a default limit: all sessions of the smallest VM send
// one of the longest messages at once, and read the answers.
func TestClientsInsideLimits(t *testing.T) {
	clients := map[string]func(c net.Conn){
		"full writes at once": func(c net.Conn) {
			send(c, startup, "QUERY a WRITE k "+text(fullMessage-256)+"\r\n")
			readAnswers(c, 2)
		},
		"long answers at once": func(c net.Conn) {
			send(c, startup, "QUERY a WRITE k "+text(unreadText)+"\r\n")
			readAnswers(c, 2)
			send(c, "QUERY b READ k\r\n")
			readAnswers(c, 1)
		},
		"pipelined requests": func(c net.Conn) {
			send(c, startup, "QUERY a BEGIN\r\nQUERY b READ k\r\nQUERY c COMMIT\r\nQUERY d READ k\r\n")
			readAnswers(c, 5)
		},
	}
	for name, client := range clients {
		t.Run(name, func(t *testing.T) {
			v := startVMWith(t, smallestMemoryMB, smallestDescriptors)
			crowd := openClients(v.callers(), sessionsOfSmallest, client)
			crowd.close()
			for reason, n := range v.acts(t) {
				assert.Check(t, n == 0, "%s acted %d times", reason, n)
			}
			v.expectAnswer(t)
			v.expectWithinLimits(t, smallestMemoryMB, smallestDescriptors)
		})
	}
}
