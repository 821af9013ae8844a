package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/savoryramp/savoryramp/platform"
	"github.com/savoryramp/savoryramp/platform/standin"
)

// process is one VM.
type process struct {
	name, ip, binary, folder string
	store                    *proxy
	// evacuates is true if the settings ask for evacuations.
	evacuates bool

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
	// contracts are those in the settings.
	contracts []string
	// unexpected ends were not ordered by the soak.
	unexpected int
	ordered    bool
	// disturbed is until when the VM counts as disturbed.
	disturbed time.Time
}

// start runs the program; it is called while none runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	settings := filepath.Join(p.folder, p.name+".json")
	text := standin.SettingsFile(p.name, "zone-"+p.name[len(p.name)-1:], p.ip, p.store.address(), p.store.address(), p.contracts...)
	if p.evacuates {
		text = standin.WithPlacement(text, evacuationBound, zoneRegions)
	}
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		return err
	}
	if p.log == nil {
		log, err := os.Create(filepath.Join(p.folder, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = log
	}
	c := exec.Command(p.binary, "--metrics-port=0", "--log-lines=1000")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done, p.ordered = c, done, false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.ordered {
			p.unexpected++
			fmt.Fprintf(p.log, "ended by itself: %v\n", err)
		}
		close(done)
	}()
	return nil
}

// signal sends a signal to the process that this one started.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if ends {
		p.ordered = true
	}
	_ = p.command.Process.Signal(s)
}

// wait waits for the process's end; false if it takes longer.
func (p *process) wait(within time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(within):
		return false
	}
}

// ready asks as the balancer does.
func (p *process) ready(client *http.Client) bool {
	response, err := client.Get("http://" + p.ip + ":8460" + standin.ReadinessPath)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) callers() string { return p.ip + ":8465" }
