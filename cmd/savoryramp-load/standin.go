package main

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/savoryramp/savoryramp/internal/fakeupstream"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// entry is a commit in the servers' log.
type entry struct {
	At         time.Time                `json:"at"`
	Statements []fakeupstream.Statement `json:"statements"`
}

// server is what the servers' stand-in tells of one.
type server struct {
	Server          platform.ServerName `json:"server"`
	MostConnections int                 `json:"most-connections"`
}

// readLog reads the servers' log.
func readLog(ctx context.Context, address string) ([]entry, error) {
	var log []entry
	err := readJSON(ctx, "http://"+address+"/history", func(d *json.Decoder) error {
		var e entry
		err := d.Decode(&e)
		if err == nil {
			log = append(log, e)
		}
		return err
	})
	return log, err
}

// readServers reads the servers' state.
func readServers(ctx context.Context, address string) ([]server, error) {
	var list []server
	err := readJSON(ctx, "http://"+address+"/state", func(d *json.Decoder) error { return d.Decode(&list) })
	return list, err
}

// readJSON decodes values until there are no more.
func readJSON(ctx context.Context, url string, decode func(*json.Decoder) error) error {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	d := json.NewDecoder(answer.Body)
	for d.More() {
		if err := decode(d); err != nil {
			return err
		}
	}
	return nil
}
