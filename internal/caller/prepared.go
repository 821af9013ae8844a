package caller

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is a statement that the session prepared. The proxy prepares it on
// each server connection that runs it.
type preparedStatement struct {
	sql           string
	parameterOIDs []uint32
	// serverName is its name on servers, derived from the text and the parameter types.
	serverName string
	kind       statementKind
}

func newPreparedStatement(p *pgproto3.Parse) *preparedStatement {
	h := xxhash.New()
	_, _ = h.WriteString(p.Query)
	for _, oid := range p.ParameterOIDs {
		_, _ = h.WriteString("," + strconv.FormatUint(uint64(oid), 10))
	}
	return &preparedStatement{
		sql:           p.Query,
		parameterOIDs: append([]uint32(nil), p.ParameterOIDs...),
		serverName:    "savoryramp-" + strconv.FormatUint(h.Sum64(), 16) + "-" + strconv.Itoa(len(p.Query)),
		kind:          classify(p.Query),
	}
}

// parseMessage returns the Parse message that prepares the statement under a name.
func (p *preparedStatement) parseMessage(name string) *pgproto3.Parse {
	return &pgproto3.Parse{Name: name, Query: p.sql, ParameterOIDs: p.parameterOIDs}
}

// cloneMessage copies a message, since the decoder reuses its buffers.
func cloneMessage(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := m.(type) {
	case *pgproto3.Parse:
		c := *m
		c.ParameterOIDs = append([]uint32(nil), m.ParameterOIDs...)
		return &c
	case *pgproto3.Bind:
		return cloneBind(m)
	case *pgproto3.Describe:
		c := *m
		return &c
	case *pgproto3.Execute:
		c := *m
		return &c
	case *pgproto3.Close:
		c := *m
		return &c
	}
	return m
}

func cloneBind(m *pgproto3.Bind) *pgproto3.Bind {
	c := *m
	c.ParameterFormatCodes = append([]int16(nil), m.ParameterFormatCodes...)
	c.ResultFormatCodes = append([]int16(nil), m.ResultFormatCodes...)
	c.Parameters = make([][]byte, len(m.Parameters))
	for i, p := range m.Parameters {
		if p != nil {
			c.Parameters[i] = append([]byte{}, p...)
		}
	}
	return &c
}
