package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// adminRequestTimeout limits a request to a VM's admin address.
const adminRequestTimeout = 10 * time.Second

// printState prints the state of a VM as indented JSON.
func (s *invocation) printState() error {
	body, err := callAdmin(http.MethodGet, s.options.AdminAddress, "/state")
	if err != nil {
		return err
	}
	var state json.RawMessage
	if err := json.Unmarshal(body, &state); err != nil {
		return ErrUnreachable.New("%s did not answer with JSON; pass the admin address of a VM", s.options.AdminAddress)
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	if err := e.Encode(state); err != nil {
		return ErrFailed.Wrap(err, "can't write the state")
	}
	return nil
}

// drainVM tells a VM to drain and returns when the VM has accepted the request.
func (s *invocation) drainVM() error {
	if _, err := callAdmin(http.MethodPost, s.options.AdminAddress, "/drain"); err != nil {
		return err
	}
	fmt.Fprintln(s.out, s.options.AdminAddress, "drains")
	return nil
}

func callAdmin(method string, vm platform.Address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), adminRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(vm)+path, nil)
	if err != nil {
		return nil, ErrUsage.New("%s is not an address; use one like 127.0.0.1:6480", vm)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, ErrUnreachable.New("no answer from %s: %s; pass the admin address of a running VM", vm, rootCause(err))
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return nil, ErrUnreachable.New("%s answered %s to %s; pass the admin address of a running VM", vm, response.Status, path)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, ErrUnreachable.New("the answer from %s was cut off: %s; try again", vm, rootCause(err))
	}
	return body, nil
}
