package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/savoryramp/savoryramp/platform/standin"
)

// api is the platform's API for promotions.
type api struct {
	store  *standin.Store
	record *record
	// unchecked is true if the API executes orders whatever their tokens are.
	unchecked bool

	mu sync.Mutex
	// newest is the highest token seen by service, orders all orders in sequence.
	newest map[string]int64
	orders []order
}

// order is one order to promote a server.
type order struct {
	service, id, holder string
	token               int64
	// newest is the highest token that the API had seen before.
	newest int64
}

func (a *api) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	var body struct{ Service, ID string }
	token, errToken := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || errToken != nil || json.Unmarshal(text, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	o := order{body.Service, body.ID, r.Header.Get("Lease-Holder"), token, a.newest[body.Service]}
	a.orders = append(a.orders, o)
	a.newest[body.Service] = max(a.newest[body.Service], token)
	a.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(text))
	a.record.printf("platform: %s orders the promotion of %s (%s) with Fencing-Token %d; the newest before was %d", o.holder, o.id, o.service, o.token, o.newest)
	if a.unchecked {
		if !a.store.Groups[o.service].OrderPromotion(o.id, max(o.token, o.newest)) {
			w.WriteHeader(http.StatusConflict)
		}
		return
	}
	pagesOnly{a.store}.ServeHTTP(w, r)
}

// all returns the orders so far.
func (a *api) all() []order {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]order(nil), a.orders...)
}
