package main

import (
	"context"
	"net/http"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/savoryramp/savoryramp/internal/load"
)

const (
	// tokenParameter carries the session's token both ways.
	tokenParameter = "savoryramp.session"
	// servedMetric counts requests that were answered, by the label servedLabel.
	servedMetric = "savoryramp_caller_requests_total"
	servedLabel  = "role"
	// codeUnknown is the SQLSTATE of a transaction whose outcome is unknown.
	codeUnknown    = "08007"
	metricsTimeout = 5 * time.Second
)

// session is one connection to a VM.
type session struct {
	conn *pgx.Conn
}

// login is what a caller shows to a VM.
type login struct {
	database string
	user     string
	secret   string
}

// connect opens a session, with the token of an earlier one unless it is empty.
func (l login) connect(ctx context.Context, vm, token string) (*session, error) {
	config, err := pgx.ParseConfig("postgres://" + vm + "/" + l.database + "?sslmode=prefer")
	if err != nil {
		return nil, ErrSetup.Wrap(err, "address %s", vm)
	}
	config.User = l.user
	config.Password = l.secret
	if token != "" {
		config.RuntimeParams[tokenParameter] = token
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return nil, err
	}
	return &session{conn: conn}, nil
}

func (s *session) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conn.Close(ctx)
}

// token is what the VM gave after the last commit.
func (s *session) token() string {
	return s.conn.PgConn().ParameterStatus(tokenParameter)
}

func (s *session) execute(ctx context.Context, sql string, arguments ...any) error {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	_, err := s.conn.Exec(ctx, sql, arguments...)
	return err
}

func (s *session) number(ctx context.Context, sql string, arguments ...any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	var n int
	err := s.conn.QueryRow(ctx, sql, arguments...).Scan(&n)
	return n, err
}

func (s *session) texts(ctx context.Context, sql string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	rows, err := s.conn.Query(ctx, sql)
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, pgx.RowTo[string])
}

// outcomeOf is what an error tells of the write: only an answer of the VM says that
// it wasn't run.
func outcomeOf(err error) outcome {
	if err == nil {
		return acknowledged
	}
	answer := load.ServerError(err)
	if answer == nil || answer.Code == codeUnknown {
		return unknown
	}
	return notRun
}

// servedBy reads from a VM's metrics how many answers came from which role.
func servedBy(ctx context.Context, admin string) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, ErrSetup.Wrap(err, "address")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(answer.Body)
	if err != nil {
		return nil, err
	}
	served := map[string]int{}
	for _, m := range families[servedMetric].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == servedLabel {
				served[label.GetValue()] += int(m.GetCounter().GetValue())
			}
		}
	}
	return served, nil
}
