package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/joomcode/errorx"

	"github.com/savoryramp/savoryramp/internal/platform"
)

// commandTimeout limits the total time of a command's requests to the platform.
const commandTimeout = 20 * time.Second

// versionHeader matches the first line of the output of show. Apply reads the version from
// it, so that an edited document only replaces the version it was made from.
var versionHeader = regexp.MustCompile(`^# savoryramp: version (\d+),[^\n]*\n`)

// validateDocument prints a summary of a valid document, or each mistake of an invalid one
// as a line.
func (s *invocation) validateDocument() error {
	document, err := s.readDocument()
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: no mistakes; service %s, %d upstreams, %d databases, %d workspaces\n", s.options.File,
		document.Service, len(document.Upstreams), len(document.Databases), len(document.Workspaces))
	return nil
}

// readDocument reads and parses the document. Mistakes are printed on errOut.
func (s *invocation) readDocument() (*platform.Document, error) {
	text, err := s.readText()
	if err != nil {
		return nil, err
	}
	return s.parseDocument(text)
}

func (s *invocation) parseDocument(text []byte) (*platform.Document, error) {
	document, err := platform.Parse(text)
	if err == nil {
		s.warnCommitLoss(document)
		return document, nil
	}
	mistakes := platform.Mistakes(err)
	for _, m := range mistakes {
		fmt.Fprintf(s.errOut, "%s: %s\n", s.options.File, m)
	}
	return nil, ErrDocument.New("%s has %d mistakes; nothing was changed", s.options.File, len(mistakes))
}

// warnCommitLoss warns about upstreams whose acknowledgement rule allows a failover to lose
// commits.
func (s *invocation) warnCommitLoss(document *platform.Document) {
	for _, u := range document.Upstreams {
		if u.Acknowledge == platform.TermLeased {
			fmt.Fprintf(s.errOut, "savoryramp: warning: upstream %s is %s: an acknowledged commit can be lost with its primary; "+
				"%s loses none\n", u.Name, platform.TermLeased, platform.ReplicaConfirmed)
		}
	}
}

func (s *invocation) readText() ([]byte, error) {
	if s.options.File == "-" {
		text, err := io.ReadAll(os.Stdin)
		if err != nil {
			return nil, ErrFile.New("can't read standard input: %s", rootCause(err))
		}
		return text, nil
	}
	text, err := os.ReadFile(s.options.File)
	if err != nil {
		return nil, ErrFile.New("can't read %s: %s; use the path of a document, or - for standard input", s.options.File, rootCause(err))
	}
	return text, nil
}

// applyDocument puts a document into force.
func (s *invocation) applyDocument() error {
	text, err := s.readText()
	if err != nil {
		return err
	}
	if _, err := s.parseDocument(text); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	snapshot, err := s.applyText(ctx, text)
	if err != nil {
		return platformError(s.options.Platform, err)
	}
	fmt.Fprintf(s.out, "version %d is in force, hash %s\n", snapshot.Version, snapshot.Hash)
	return nil
}

// applyText replaces the version named by the header of text, or the newest version if
// there is no header.
func (s *invocation) applyText(ctx context.Context, text []byte) (platform.Snapshot, error) {
	p := s.options.Platform
	base, body, found := cutHeader(text)
	if !found {
		return platform.Apply(ctx, newTable(p), newStore(p), s.options.Operator, text)
	}
	return platform.ApplyToVersion(ctx, newTable(p), newStore(p), s.options.Operator, base, body)
}

func cutHeader(text []byte) (platform.DocumentVersion, []byte, bool) {
	match := versionHeader.FindSubmatch(text)
	if match == nil {
		return 0, text, false
	}
	version, err := strconv.ParseInt(string(match[1]), 10, 64)
	return platform.DocumentVersion(version), text[len(match[0]):], err == nil
}

// showDocument prints the document in force, after a header line.
func (s *invocation) showDocument() error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	p := s.options.Platform
	table := newTable(p)
	snapshot, err := platform.ReadNewest(ctx, table, newStore(p))
	if err != nil {
		return platformError(p, err)
	}
	operator, err := platform.SubmittedBy(ctx, table, snapshot.Version)
	if err != nil {
		return platformError(p, err)
	}
	fmt.Fprintf(s.out, "# savoryramp: version %d, hash %s, by %s\n", snapshot.Version, snapshot.Hash, operator)
	_, err = s.out.Write(snapshot.Body)
	if err != nil {
		return ErrFailed.Wrap(err, "can't write the document")
	}
	return nil
}

// createKey generates a secret, puts its verifier into force and prints the secret.
func (s *invocation) createKey() error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	o := s.options
	secret := platform.NewSecret()
	verifier, err := platform.NewVerifier(secret)
	if err != nil {
		return ErrFailed.Wrap(err, "can't create a verifier")
	}
	key := platform.Key{Name: o.Key, Verifier: verifier}
	snapshot, err := platform.AddKey(ctx, newTable(o.Platform), newStore(o.Platform), o.Operator, o.Workspace, key)
	if err != nil {
		return platformError(o.Platform, err)
	}
	fmt.Fprintln(s.out, secret)
	fmt.Fprintf(s.errOut, "key %s of workspace %s is in force since version %d; its secret isn't shown again\n",
		o.Key, o.Workspace, snapshot.Version)
	return nil
}

// withdrawKey marks a key as withdrawn in the document in force.
func (s *invocation) withdrawKey() error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	o := s.options
	snapshot, err := platform.SetKeyWithdrawn(ctx, newTable(o.Platform), newStore(o.Platform), o.Operator, o.Key, true)
	if err != nil {
		return platformError(o.Platform, err)
	}
	fmt.Fprintf(s.out, "key %s is withdrawn since version %d\n", o.Key, snapshot.Version)
	return nil
}

// platformError converts an error of the platform into one that tells the operator how to
// proceed.
func platformError(p PlatformOptions, err error) error {
	text := errorLine(err)
	switch {
	case errorx.IsOfType(err, platform.ErrNoKey):
		return ErrKey.New("%s; run savoryramp show for the workspaces and keys", text)
	case errorx.IsOfType(err, platform.ErrKeyTaken):
		return ErrKey.New("%s; choose another name", text)
	case errorx.IsOfType(err, platform.ErrNoRow):
		return ErrDocument.New("no document is in force yet; apply one first")
	case errorx.IsOfType(err, platform.ErrDocument):
		return ErrDocument.New("%s", bytes.ReplaceAll([]byte(text), []byte("\n"), []byte("; ")))
	case errorx.IsOfType(err, platform.ErrConflict):
		return ErrConflict.New("%s; print it with savoryramp show, merge its changes and apply again", text)
	case errorx.IsOfType(err, platform.ErrOutcomeUnknown):
		return ErrUnreachable.New("%s; check with savoryramp show whether it is in force", text)
	case errorx.IsOfType(err, platform.ErrEdit):
		return ErrDocument.New("%s; edit the output of savoryramp show and apply it", text)
	}
	return ErrUnreachable.New("the platform at %s and %s doesn't answer: %s; check --table-endpoint and --store-endpoint",
		p.TableEndpoint, p.StoreEndpoint, rootCause(err))
}
