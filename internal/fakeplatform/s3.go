package fakeplatform

import (
	"encoding/xml"
	"io"
	"net/http"

	"github.com/joomcode/errorx"
	"github.com/savoryramp/savoryramp/internal/platform"
)

// maxObjectSize bounds an object, in bytes.
const maxObjectSize = 8 << 20

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	body, err := p.Store().Get(r.Context(), platform.ObjectName(r.PathValue("name")))
	if errorx.IsOfType(err, platform.ErrNoObject) {
		storeError(w, http.StatusNotFound, "NoSuchKey")
		return
	}
	if err != nil {
		storeError(w, http.StatusServiceUnavailable, "ServiceUnavailable")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (p *Platform) serveObjectPut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectSize))
	if err != nil {
		storeError(w, http.StatusBadRequest, "EntityTooLarge")
		return
	}
	err = p.Store().Put(r.Context(), platform.ObjectName(r.PathValue("name")), body)
	if err != nil {
		storeError(w, http.StatusServiceUnavailable, "ServiceUnavailable")
	}
}

func storeError(w http.ResponseWriter, status int, code string) {
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	_ = xml.NewEncoder(w).Encode(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
		Message string
	}{Code: code, Message: code})
}
