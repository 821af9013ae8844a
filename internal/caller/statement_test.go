package caller

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		sql  string
		want statementKind
	}{
		"select":              {"SELECT 1", kindRead},
		"comment first":       {"-- hi\n /* there */ select 1;", kindRead},
		"locking clause":      {"SELECT * FROM quota FOR UPDATE", kindWrite},
		"modifying with":      {"WITH x AS (INSERT INTO a VALUES (1) RETURNING 1) SELECT * FROM x", kindWrite},
		"plain with":          {"WITH x AS (SELECT 1) SELECT * FROM x", kindRead},
		"select into":         {"SELECT 1 INTO t", kindWrite},
		"two statements":      {"SELECT 1; SELECT 2", kindWrite},
		"begin":               {"BEGIN", kindBegin},
		"begin read only":     {"begin isolation level serializable, read only", kindBeginReadOnly},
		"start":               {"START TRANSACTION READ ONLY", kindBeginReadOnly},
		"begin and more":      {"BEGIN; INSERT INTO a VALUES (1)", kindWrite},
		"commit":              {"COMMIT;", kindEnd},
		"rollback":            {"rollback", kindEnd},
		"to a savepoint":      {"rollback /* not all */ to a", kindWrite},
		"prepared":            {"commit prepared 'a'", kindWrite},
		"chain":               {"End Transaction\nAND CHAIN", kindEnd},
		"begin read write":    {"begin read only, read write", kindBegin},
		"proxy set":           {"SET savoryramp.max_staleness = '5s'", kindProxySetting},
		"proxy set local":     {"set local savoryramp.idempotent to on", kindProxySetting},
		"proxy show":          {"SHOW savoryramp.session", kindProxySetting},
		"other set":           {"SET search_path = a", kindWrite},
		"empty":               {" ; ", kindEmpty},
		"anything else":       {"VACUUM", kindWrite},
		"parenthesised union": {"(SELECT 1) UNION (SELECT 2)", kindRead},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, classify(c.sql), c.want) })
	}
}

func TestStatements(t *testing.T) {
	for name, parts := range map[string][]string{
		"one":             {"select 1"},
		"two":             {"select 1", "set a = 1"},
		"string":          {"select 'a;''b;'", "set a = ';'"},
		"backslash":       {`select E'a\';', e'\\'`, "set a = 1"},
		"not a backslash": {`select 'a\'`, "set a = 1"},
		"name":            {`select 1 as "a;""b"`, "set a = 1"},
		"dollars":         {"select $a$ ; $$ ; $b$ ; $a$, $$;$$", "set a = 1"},
		"not dollars":     {"select $1, a$b$c", "set a = 1"},
		"comments":        {"select 1 /* ; /* ; */ ; */ -- ;\n", "set a = 1"},
	} {
		t.Run(name, func(t *testing.T) {
			var want []string
			for _, p := range parts {
				want = append(want, strings.TrimSpace(p))
			}
			assert.DeepEqual(t, splitStatements(strings.Join(parts, ";")+"; /* nothing */ ;"), want)
		})
	}
}
