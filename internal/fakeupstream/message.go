package fakeupstream

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a statement of the extended protocol.
type prepared struct {
	text      string
	statement statement
	oids      []OID
	// columns are what Describe told, nil before.
	columns []column
}

// portal is a prepared statement with its arguments.
type portal struct {
	prepared *prepared
	args     []any
	formats  []int16
	// result is there after the first Execute.
	result *result
}

// query runs a script of the simple protocol as one implicit transaction.
func (s *session) query(script string) bool {
	list := split(script)
	if len(list) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, text := range list {
		if err := s.runSimple(text, i == len(list)-1); err != nil {
			s.fail(err)
			break
		}
	}
	return s.ready()
}

func (s *session) runSimple(text string, last bool) error {
	ctx, done := s.interruptible()
	defer done()
	st, err := s.understand(ctx, text)
	if err != nil {
		return err
	}
	r, err := s.runStatement(ctx, st, nil)
	if err != nil {
		return err
	}
	if r != nil {
		defer r.close()
		if len(r.columns) > 0 {
			s.backend.Send(rowDescription(r.columns, nil))
		}
		if _, err := s.sendRows(r, r.columns, nil, 0); err != nil {
			return err
		}
	}
	if last && !s.tx.explicit {
		if err := s.commit(); err != nil {
			return err
		}
	}
	if r != nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag())})
	}
	return nil
}

// sendRows sends rows up to a limit (0: all); more tells whether it stopped there.
func (s *session) sendRows(r *result, columns []column, formats []int16, limit uint32) (more bool, err error) {
	for sent := uint32(0); limit == 0 || sent < limit; sent++ {
		row, err := r.next()
		if err != nil {
			return false, err
		}
		if row == nil {
			return false, nil
		}
		if err := s.sendRow(row, columns, formats); err != nil {
			return false, err
		}
		r.count++
	}
	return true, nil
}

func (s *session) sendRow(row []any, columns []column, formats []int16) error {
	values := make([][]byte, len(row))
	for i, v := range row {
		var err error
		if values[i], err = encode(v, columns[i].oid, formatOf(formats, i)); err != nil {
			return err
		}
		s.gathered += len(values[i])
	}
	s.backend.Send(&pgproto3.DataRow{Values: values})
	if s.gathered < flushBytes {
		return nil
	}
	return s.flush()
}

// formatOf reads a list of format codes: none, one for all, or one each.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return formatText
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	}
	return formatText
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	m := &pgproto3.RowDescription{}
	for i, c := range columns {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{
			Name: []byte(c.name), DataTypeOID: c.oid, DataTypeSize: -1, TypeModifier: -1, Format: formatOf(formats, i),
		})
	}
	return m
}

func (s *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && s.statements[m.Name] != nil {
		return refuse(stateDuplicatePrepare, "prepared statement %q already exists", m.Name)
	}
	if len(split(m.Query)) > 1 {
		return refuse(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	ctx, done := s.interruptible()
	defer done()
	st, err := s.understand(ctx, m.Query)
	if err != nil {
		return err
	}
	p := &prepared{text: m.Query, statement: st, oids: make([]OID, parameters(st))}
	copy(p.oids, m.ParameterOIDs)
	s.statements[m.Name] = p
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func parameters(st statement) int {
	switch st := st.(type) {
	case query:
		return st.parameters
	case function:
		return st.parameters
	}
	return 0
}

func (s *session) bind(m *pgproto3.Bind) error {
	p := s.statements[m.PreparedStatement]
	if p == nil {
		return refuse(stateNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.oids) {
		return refuse(stateProtocol, "bind message supplies %d parameters, but the statement requires %d", len(m.Parameters), len(p.oids))
	}
	o := &portal{prepared: p, formats: append([]int16{}, m.ResultFormatCodes...)}
	for i, data := range m.Parameters {
		v, err := bind(data, p.oids[i], formatOf(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		o.args = append(o.args, v)
	}
	s.closePortal(m.DestinationPortal)
	s.portals[m.DestinationPortal] = o
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describe(m *pgproto3.Describe) error {
	ctx, done := s.interruptible()
	defer done()
	if m.ObjectType == 'P' {
		o := s.portals[m.Name]
		if o == nil {
			return refuse(stateNoPortal, "portal %q does not exist", m.Name)
		}
		return s.describeColumns(ctx, o.prepared, o.formats)
	}
	p := s.statements[m.Name]
	if p == nil {
		return refuse(stateNoStatement, "prepared statement %q does not exist", m.Name)
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
	return s.describeColumns(ctx, p, nil)
}

func (s *session) describeColumns(ctx context.Context, p *prepared, formats []int16) error {
	var err error
	if p.columns == nil {
		p.columns, err = s.columnsOf(ctx, p.statement)
	}
	if err != nil {
		return err
	}
	if len(p.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(p.columns, formats))
	return nil
}

func (s *session) columnsOf(ctx context.Context, st statement) ([]column, error) {
	switch st := st.(type) {
	case query:
		return s.columns(ctx, st)
	case function:
		return []column{{name: st.name, oid: oidText}}, nil
	case control:
		if st.verb == "SHOW" {
			return []column{{name: settingName(st.text), oid: oidText}}, nil
		}
	}
	return nil, nil
}

func (s *session) execute(m *pgproto3.Execute) error {
	o := s.portals[m.Portal]
	if o == nil {
		return refuse(stateNoPortal, "portal %q does not exist", m.Portal)
	}
	ctx, done := s.interruptible()
	defer done()
	if o.result == nil {
		r, err := s.runStatement(ctx, o.prepared.statement, o.args)
		if err != nil {
			return err
		}
		if r == nil {
			s.backend.Send(&pgproto3.EmptyQueryResponse{})
			return nil
		}
		o.result = r
	} else if o.result.live != nil {
		s.setInterrupt(o.result.stop)
	}
	columns := o.prepared.columns
	if len(columns) != len(o.result.columns) {
		columns = o.result.columns
	}
	more, err := s.sendRows(o.result, columns, o.formats, m.MaxRows)
	if err != nil {
		return err
	}
	if more {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(o.result.tag())})
	return nil
}

func (s *session) close(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		s.closePortal(m.Name)
	} else {
		delete(s.statements, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
}

func (s *session) closePortal(name string) {
	if o := s.portals[name]; o != nil && o.result != nil {
		o.result.close()
	}
	delete(s.portals, name)
}

func (s *session) closePortals() {
	for name := range s.portals {
		s.closePortal(name)
	}
}
