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

// vmTimeout bounds a question to a VM's admin address.
const vmTimeout = 10 * time.Second

// printState prints the state of a VM as indented JSON.
func (s *session) printState() error {
	body, err := ask(http.MethodGet, s.options.VM, "/state")
	if err != nil {
		return err
	}
	var state json.RawMessage
	if err := json.Unmarshal(body, &state); err != nil {
		return ErrUnreachable.New("%s answers, but not as savoryramp does; give a VM's admin address", s.options.VM)
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	if err := e.Encode(state); err != nil {
		return ErrBroken.Wrap(err, "can't write the state")
	}
	return nil
}

// drain tells a VM to drain; it returns once the VM has taken the order.
func (s *session) drain() error {
	if _, err := ask(http.MethodPost, s.options.VM, "/drain"); err != nil {
		return err
	}
	fmt.Fprintln(s.out, s.options.VM, "drains")
	return nil
}

func ask(method string, vm platform.Address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), vmTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(vm)+path, nil)
	if err != nil {
		return nil, ErrUsage.New("%s is no address; give one like 127.0.0.1:6480", vm)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, ErrUnreachable.New("no answer from %s: %s; give the admin address of a running VM", vm, reason(err))
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		return nil, ErrUnreachable.New("%s answers %s to %s; give the admin address of a running VM", vm, answer.Status, path)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, ErrUnreachable.New("the answer from %s broke off: %s; try again", vm, reason(err))
	}
	return body, nil
}
