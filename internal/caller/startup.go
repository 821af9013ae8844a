package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/savoryramp/savoryramp/internal/platform"
)

const (
	// loginTimeout is the longest time from the accept of a connection to the end of
	// its login.
	loginTimeout = 10 * time.Second
	// MaxMessage limits a caller's message, in bytes.
	MaxMessage     = 16 << 20
	maxMessageSize = MaxMessage
	// maxStartupMessageSize limits a message during the login, in bytes.
	maxStartupMessageSize = 64 << 10
	// cancelSecretSize is the size of the secret in BackendKeyData, in bytes.
	cancelSecretSize = 4
	scramMechanism   = "SCRAM-SHA-256"
)

// acceptLogin runs startup and login. It returns false if the connection must be
// closed.
func (s *Session) acceptLogin(ctx context.Context) bool {
	s.backend = pgproto3.NewBackend(s.callerConn, s.callerConn)
	s.output = outputBuffer{conn: s.callerConn, heldFrom: -1}
	s.backend.SetMaxBodyLen(maxStartupMessageSize)
	startup := s.receiveStartup(ctx)
	if startup == nil {
		return false
	}
	if err := s.login(startup); err != nil {
		eventKeyRefused.Log(s.server.Logger, "key", startup.Parameters["user"], "database", startup.Parameters["database"], "err", err)
		s.send(errorResponse("FATAL", err))
		_ = s.flush()
		return false
	}
	s.callerConn.endLogin()
	s.backend.SetMaxBodyLen(maxMessageSize)
	return true
}

// receiveStartup handles the requests that may precede the startup message, and returns
// that message, or nil if the connection must be closed.
func (s *Session) receiveStartup(ctx context.Context) *pgproto3.StartupMessage {
	for {
		m, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest:
			if !s.startTLS() {
				return nil
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.callerConn.Write([]byte{'N'}); err != nil {
				return nil
			}
		case *pgproto3.CancelRequest:
			s.handleCancelRequest(ctx, m)
			return nil
		case *pgproto3.StartupMessage:
			return m
		}
	}
}

// startTLS answers an SSLRequest and, if the server has TLS, does the handshake.
func (s *Session) startTLS() bool {
	if s.server.TLS == nil {
		_, err := s.callerConn.Write([]byte{'N'})
		return err == nil
	}
	if _, err := s.callerConn.Write([]byte{'S'}); err != nil {
		return false
	}
	tlsConn := tls.Server(s.callerConn.Conn, s.server.TLS)
	if err := tlsConn.Handshake(); err != nil {
		return false
	}
	upgraded := newCallerConn(tlsConn, s.callerConn.loginDeadline)
	upgraded.account = s.callerConn.account
	s.callerConn = upgraded
	s.backend = pgproto3.NewBackend(upgraded, upgraded)
	s.output.conn = upgraded
	s.backend.SetMaxBodyLen(maxStartupMessageSize)
	return true
}

func (s *Session) handleCancelRequest(ctx context.Context, m *pgproto3.CancelRequest) {
	id := SessionID(m.ProcessID)
	if s.server.Cancel(ctx, id, m.SecretKey) || s.server.ForwardCancel == nil {
		return
	}
	s.server.ForwardCancel(id, m.SecretKey)
}

// login authenticates the caller and determines its workspace and database.
func (s *Session) login(m *pgproto3.StartupMessage) error {
	document := s.server.Documents.Current().Document
	if document == nil || s.server.Draining() || !s.server.isDocumentTrusted() {
		return ErrNotReady.New("VM %s accepts no connections now; connect again", s.server.VM)
	}
	name := platform.DatabaseName(m.Parameters["database"])
	if name == "" {
		name = platform.DatabaseName(m.Parameters["user"])
	}
	database, found := document.Database(name)
	if found && database.Open {
		return s.completeAuthentication(document, database, database.OpenWorkspace, m)
	}
	s.key = platform.KeyName(m.Parameters["user"])
	workspace, key, known := document.Key(s.key)
	var verifier platform.Verifier
	if known && !key.Withdrawn {
		verifier = key.Verifier
	}
	s.verifier = verifier
	if err := s.authenticate(verifier); err != nil {
		return err
	}
	if !found {
		return ErrNoDatabase.New("database %q does not exist", name)
	}
	return s.completeAuthentication(document, database, workspace.Name, m)
}

// completeAuthentication sets the session's workspace and database, applies the startup
// parameters and sends AuthenticationOk, if the document lets the key use the database
// for the workspace.
func (s *Session) completeAuthentication(d *platform.Document, database *platform.Database, name platform.WorkspaceName, m *pgproto3.StartupMessage) error {
	workspace, found := d.Workspace(name)
	if !found {
		return ErrNoDatabase.New("workspace %q does not exist", name)
	}
	s.workspace, s.database = workspace, database
	if !s.isAllowed(d) {
		return ErrNoDatabase.New("key %q may not use database %q", s.key, database.Name)
	}
	if err := s.applyStartupParameters(m.Parameters); err != nil {
		return err
	}
	s.send(&pgproto3.AuthenticationOk{})
	return nil
}

// isAllowed reports whether a document lets the session's key use its database for its
// workspace.
func (s *Session) isAllowed(d *platform.Document) bool {
	database, found := d.Database(s.database.Name)
	if !found || database.Upstream != s.database.Upstream {
		return false
	}
	if database.Open && database.OpenWorkspace == s.workspace.Name {
		return true
	}
	workspace, key, known := d.Key(s.key)
	if !known || key.Withdrawn || key.Verifier != s.verifier || workspace.Name != s.workspace.Name {
		return false
	}
	return slices.Contains(workspace.Databases, database.Name)
}

// applyStartupParameters applies the savoryramp settings among the startup parameters.
func (s *Session) applyStartupParameters(parameters map[string]string) error {
	for name, value := range parameters {
		name = strings.ToLower(name)
		switch {
		case name == "options":
			if err := s.applyOptions(value); err != nil {
				return err
			}
		case strings.HasPrefix(name, proxySettingPrefix):
			if err := s.applyParameter(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// applyOptions applies savoryramp settings given as "-c name=value", as in libpq's
// PGOPTIONS.
func (s *Session) applyOptions(text string) error {
	for _, word := range strings.Fields(text) {
		name, value, found := strings.Cut(strings.TrimPrefix(word, "-c"), "=")
		if !found || !strings.HasPrefix(name, proxySettingPrefix) {
			continue
		}
		if err := s.applyParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) applyParameter(name, value string) error {
	if name != settingSession {
		return s.proxySettings.set(name, value)
	}
	// Without a valid token, the session only has to query the group for its floor.
	if floors, err := s.server.TokenKey.verifyToken(value, s.workspace.Name); err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.floors = floors
	}
	return nil
}

// authenticate runs SCRAM-SHA-256 against a verifier and returns ErrAuthentication if
// it fails. An empty verifier fails in the same way as a wrong key.
func (s *Session) authenticate(v platform.Verifier) error {
	errFailed := ErrAuthentication.New("key %q is unknown, wrong or withdrawn", s.key)
	credentials, err := v.Credentials()
	if err != nil {
		credentials = decoyCredentials()
	}
	server, errServer := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if errServer != nil {
		return errFailed
	}
	conversation := server.NewConversation()
	s.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	clientFirst, errClientFirst := s.receiveSASL(pgproto3.AuthTypeSASL)
	if errClientFirst != nil {
		return errClientFirst
	}
	serverFirst, errStep := conversation.Step(clientFirst)
	if errStep != nil {
		return errFailed
	}
	s.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(serverFirst)})
	clientFinal, errClientFinal := s.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if errClientFinal != nil {
		return errClientFinal
	}
	serverFinal, errStep := conversation.Step(clientFinal)
	if errStep != nil || !conversation.Valid() || err != nil {
		return errFailed
	}
	s.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(serverFinal)})
	return nil
}

// receiveSASL flushes the output and returns the data of the caller's next SASL
// message.
func (s *Session) receiveSASL(authType uint32) (string, error) {
	if err := s.flush(); err != nil {
		return "", err
	}
	if err := s.backend.SetAuthType(authType); err != nil {
		return "", ErrProtocol.Wrap(err, "login")
	}
	m, err := s.backend.Receive()
	if err != nil {
		return "", errCallerGone.Wrap(err, "login")
	}
	switch m := m.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != scramMechanism {
			return "", ErrAuthentication.New("only %s is supported", scramMechanism)
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	}
	return "", ErrProtocol.New("message %T during login", m)
}

const decoyIterations = 4096

// decoyCredentials returns credentials that no key matches, so that an unknown key goes
// through the same steps as a wrong one and can't be told apart.
func decoyCredentials() scram.StoredCredentials {
	salt := make([]byte, 16)
	stored := make([]byte, 32)
	_, _ = rand.Read(salt)
	_, _ = rand.Read(stored)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: decoyIterations},
		StoredKey:  stored, ServerKey: stored,
	}
}

// reportedParameters are sent to every caller as ParameterStatus messages at login.
var reportedParameters = [][2]string{
	{"server_version", "15.0"},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"TimeZone", "UTC"},
}

// finishLogin sends the messages that end the login.
func (s *Session) finishLogin() bool {
	s.secret = make([]byte, cancelSecretSize)
	_, _ = rand.Read(s.secret)
	for _, p := range reportedParameters {
		s.send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	s.send(&pgproto3.ParameterStatus{Name: settingVM, Value: string(s.server.VM)})
	s.send(&pgproto3.BackendKeyData{ProcessID: uint32(s.id), SecretKey: s.secret})
	return s.sendReady() == nil
}

// randomSessionID returns a random start for a VM's session IDs. Session IDs of two VMs
// then rarely coincide, so that a forwarded cancel request finds the right session.
func randomSessionID() SessionID {
	var b [4]byte
	_, _ = rand.Read(b[:])
	return SessionID(binary.BigEndian.Uint32(b[:]) & 0x3fffffff)
}

func (s *Server) isDocumentTrusted() bool { return s.DocumentTrusted == nil || s.DocumentTrusted() }
