package platform

import (
	"strings"

	"github.com/prometheus/common/model"
	"github.com/prometheus/prometheus/promql/parser"
	"go.yaml.in/yaml/v3"
)

var promqlParser = parser.NewParser(parser.Options{})

// alertRules checks a literal block of Prometheus rule groups and returns its text
// unchanged.
func (c cursor) alertRules() string {
	if c.node.Kind != yaml.ScalarNode || c.node.Style&yaml.LiteralStyle == 0 {
		c.addMistake("must be a literal block, written as |")
		return ""
	}
	rules, ok := parseYAML([]byte(c.node.Value), c.mistakes, c.path, c.lineOffset+c.node.Line)
	if ok {
		rules.ruleGroups()
	}
	return c.node.Value
}

// ruleGroups checks the mapping at the top of the rules.
func (c cursor) ruleGroups() {
	f, ok := c.mapping("groups")
	if !ok {
		return
	}
	names := map[string]bool{}
	f.eachItem("groups", func(c cursor) { c.ruleGroup(names) })
}

// ruleGroup checks one group; names holds the names of the groups before it.
func (c cursor) ruleGroup(names map[string]bool) {
	f, ok := c.mapping("name", "interval", "rules", "labels", "limit", "query_offset")
	if !ok {
		return
	}
	name := f.requiredString("name")
	if names[name] {
		f.addMistake("group %s is defined twice", name)
	}
	names[name] = true
	f.optionalPrometheusDuration("interval")
	f.optionalPrometheusDuration("query_offset")
	if limit, found := f.optional("limit"); found {
		limit.positiveInt()
	}
	f.optionalLabels("labels")
	f.eachItem("rules", cursor.rule)
}

// rule checks one alerting or recording rule.
func (c cursor) rule() {
	f, ok := c.mapping("alert", "record", "expr", "for", "keep_firing_for", "labels", "annotations")
	if !ok {
		return
	}
	alert := f.optionalString("alert")
	record := f.optionalString("record")
	if (alert == "") == (record == "") {
		c.addMistake("must have either alert or record")
	}
	if record != "" {
		f.rejectAlertFields()
	}
	f.optionalPrometheusDuration("for")
	f.optionalPrometheusDuration("keep_firing_for")
	f.optionalLabels("labels")
	f.optionalLabels("annotations")
	if expr, found := f.required("expr"); found {
		expr.promqlExpression()
	}
}

// rejectAlertFields reports the fields of a recording rule that only alerting rules have.
func (f fields) rejectAlertFields() {
	for _, name := range []string{"for", "keep_firing_for", "annotations"} {
		if c, found := f.optional(name); found {
			c.addMistake("is for alerts only")
		}
	}
}

// promqlExpression checks that a string is a PromQL expression.
func (c cursor) promqlExpression() {
	text := c.stringValue()
	if text == "" {
		return
	}
	if _, err := promqlParser.ParseExpr(text); err != nil {
		c.addMistake("%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
}

// optionalLabels checks a mapping of names to scalar values, if it is there.
func (f fields) optionalLabels(name string) {
	labels, found := f.optional(name)
	if !found {
		return
	}
	if labels.node.Kind != yaml.MappingNode {
		labels.addMistake("must be a mapping")
		return
	}
	names := make([]string, 0, len(labels.node.Content)/2)
	for i := 0; i < len(labels.node.Content); i += 2 {
		names = append(names, labels.node.Content[i].Value)
	}
	values, _ := labels.mapping(names...)
	for _, name := range names {
		if value, found := values.optional(name); found && value.node.Kind != yaml.ScalarNode {
			value.addMistake("must be a text")
		}
	}
}

// optionalPrometheusDuration checks a duration in Prometheus's notation, if it is there.
func (f fields) optionalPrometheusDuration(name string) {
	c, found := f.optional(name)
	if !found {
		return
	}
	if _, err := model.ParseDuration(c.node.Value); err != nil {
		c.addMistake("must be a duration such as 30s or 5m")
	}
}
