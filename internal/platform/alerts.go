package platform

import (
	"strings"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/promql/parser"
	"go.yaml.in/yaml/v3"
)

var promql = parser.NewParser(parser.Options{})

// alerts reads a literal block of rule groups and checks it; the text stays as it is.
func (c cursor) alerts() string {
	if c.node.Kind != yaml.ScalarNode || c.node.Style&yaml.LiteralStyle == 0 {
		c.mistake("must be a literal block, written as |")
		return ""
	}
	inner, ok := root([]byte(c.node.Value), c.list, c.path, c.lines+c.node.Line)
	if ok {
		inner.ruleGroups()
	}
	return c.node.Value
}

func (c cursor) ruleGroups() {
	f, ok := c.object("groups")
	if !ok {
		return
	}
	names := map[string]bool{}
	f.each("groups", func(c cursor) { c.ruleGroup(names) })
}

func (c cursor) ruleGroup(names map[string]bool) {
	f, ok := c.object("name", "interval", "rules", "labels", "limit", "query_offset")
	if !ok {
		return
	}
	name := f.text("name")
	if names[name] {
		f.mistake("group %s is defined twice", name)
	}
	names[name] = true
	f.prometheusDuration("interval")
	f.prometheusDuration("query_offset")
	if limit, found := f.optional("limit"); found {
		limit.positive()
	}
	f.labels("labels")
	f.each("rules", cursor.rule)
}

func (c cursor) rule() {
	f, ok := c.object("alert", "record", "expr", "for", "keep_firing_for", "labels", "annotations")
	if !ok {
		return
	}
	alert := f.optionalText("alert")
	record := f.optionalText("record")
	if (alert == "") == (record == "") {
		c.mistake("must have either alert or record")
	}
	if record != "" {
		f.recordOnly()
	}
	f.prometheusDuration("for")
	f.prometheusDuration("keep_firing_for")
	f.labels("labels")
	f.labels("annotations")
	if expr, found := f.required("expr"); found {
		expr.expression()
	}
}

func (f fields) recordOnly() {
	for _, name := range []string{"for", "keep_firing_for", "annotations"} {
		if c, found := f.optional(name); found {
			c.mistake("is for alerts only")
		}
	}
}

func (c cursor) expression() {
	text := c.text()
	if text == "" {
		return
	}
	if _, err := promql.ParseExpr(text); err != nil {
		c.mistake("%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

func (f fields) labels(name string) {
	c, found := f.optional(name)
	if !found {
		return
	}
	if c.node.Kind != yaml.MappingNode {
		c.mistake("must be a mapping")
		return
	}
	names := make([]string, 0, len(c.node.Content)/2)
	for i := 0; i < len(c.node.Content); i += 2 {
		names = append(names, c.node.Content[i].Value)
	}
	values, _ := c.object(names...)
	for _, name := range names {
		if value, found := values.optional(name); found && value.node.Kind != yaml.ScalarNode {
			value.mistake("must be a text")
		}
	}
}

func (f fields) prometheusDuration(name string) {
	c, found := f.optional(name)
	if !found {
		return
	}
	if _, err := model.ParseDuration(c.node.Value); err != nil {
		c.mistake("must be a duration such as 30s or 5m")
	}
}
