package platform

import (
	"net/netip"
	"regexp"
)

const (
	// maxRate is the maximum of a workspace's rate, in requests per given unit of time.
	maxRate = 1e9
	// maxCount is the maximum of bursts, connections, slots and weights. Sums of these in
	// millionths must not overflow an int64.
	maxCount      = 1_000_000_000
	defaultWeight = 1
)

// namePattern restricts names because they are used in log lines, metric labels, row keys
// and wire messages.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// documentParser builds a document and collects the mistakes in it.
type documentParser struct {
	document Document
	mistakes []Mistake
	// definitionLines holds the line that defines each name, by kind and name.
	definitionLines map[string]int
	references      []reference
}

// reference is a use of a name that must be defined anywhere in the document.
type reference struct {
	cursor
	kind string
}

// The kinds of names that must be unique within a document.
const (
	kindUpstream  = "upstream"
	kindServer    = "server"
	kindAddress   = "address"
	kindDatabase  = "database"
	kindWorkspace = "workspace"
	kindKey       = "key"
)

// Parse parses a document and rejects unknown fields. It returns an ErrDocument that lists
// all mistakes.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxDocumentSize {
		return nil, documentError([]Mistake{{Text: "is larger than 1 MiB"}})
	}
	p := &documentParser{definitionLines: map[string]int{}}
	if c, ok := parseYAML(text, &p.mistakes, "", 0); ok {
		p.service(c)
		p.checkReferences()
	}
	if len(p.mistakes) > 0 {
		return nil, documentError(p.mistakes)
	}
	return &p.document, nil
}

func (p *documentParser) service(c cursor) {
	f, ok := c.mapping("service", "upstreams", "databases", "workspaces", "alerts")
	if !ok {
		return
	}
	if name, found := f.required("service"); found {
		p.document.Service = ServiceName(p.validName(name))
	}
	f.eachItem("upstreams", p.upstream)
	f.eachItem("databases", p.database)
	f.eachItem("workspaces", p.workspace)
	if alerts, found := f.optional("alerts"); found {
		p.document.Alerts = alerts.alertRules()
	}
}

func (p *documentParser) upstream(c cursor) {
	f, ok := c.mapping("name", "acknowledge", "user", "database", "password-variable", "servers")
	if !ok {
		return
	}
	u := Upstream{
		Name:             UpstreamName(p.defineName(f, kindUpstream)),
		Acknowledge:      f.acknowledge(),
		User:             f.requiredString("user"),
		Database:         f.requiredString("database"),
		PasswordVariable: f.optionalString("password-variable"),
	}
	f.eachItem("servers", func(c cursor) { u.Servers = append(u.Servers, p.server(c)) })
	p.document.Upstreams = append(p.document.Upstreams, u)
}

func (f fields) acknowledge() Acknowledge {
	c, found := f.optional("acknowledge")
	if !found {
		return ReplicaConfirmed
	}
	switch a := Acknowledge(c.stringValue()); a {
	case ReplicaConfirmed, TermLeased:
		return a
	}
	c.addMistake("must be %s or %s", ReplicaConfirmed, TermLeased)
	return ""
}

func (p *documentParser) server(c cursor) Server {
	f, ok := c.mapping("name", "address", "availability-zone", "connections", "slots", "leaving")
	if !ok {
		return Server{}
	}
	return Server{
		Name:             ServerName(p.defineName(f, kindServer)),
		Address:          p.address(f),
		AvailabilityZone: AvailabilityZone(p.requiredName(f, "availability-zone")),
		Connections:      Connections(f.requiredPositiveInt("connections")),
		Slots:            Slots(f.requiredPositiveInt("slots")),
		Leaving:          f.optionalBool("leaving"),
	}
}

func (p *documentParser) address(f fields) Address {
	c, found := f.required("address")
	if !found {
		return ""
	}
	text := c.stringValue()
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		c.addMistake("must be an IP number and a port such as 10.0.0.1:5432")
		return ""
	}
	p.checkUnique(c, kindAddress, address.String())
	return Address(text)
}

func (p *documentParser) database(c cursor) {
	f, ok := c.mapping("name", "upstream", "open", "open-workspace", "max-staleness")
	if !ok {
		return
	}
	d := Database{
		Name:         DatabaseName(p.defineName(f, kindDatabase)),
		Open:         f.optionalBool("open"),
		MaxStaleness: f.optionalDuration("max-staleness"),
	}
	if upstream, found := f.required("upstream"); found {
		d.Upstream = UpstreamName(p.addReference(upstream, kindUpstream))
	}
	workspace, found := f.optional("open-workspace")
	if found {
		d.OpenWorkspace = WorkspaceName(p.addReference(workspace, kindWorkspace))
	}
	if found && !d.Open {
		workspace.addMistake("is for open databases only")
	}
	if d.Open && !found {
		f.forNode(f.node, f.childPath("open-workspace")).addMistake("is missing for an open database")
	}
	p.document.Databases = append(p.document.Databases, d)
}

func (p *documentParser) workspace(c cursor) {
	f, ok := c.mapping("name", "weight", "rate", "burst", "databases", "keys")
	if !ok {
		return
	}
	w := Workspace{
		Name:   WorkspaceName(p.defineName(f, kindWorkspace)),
		Weight: defaultWeight,
		Burst:  Requests(f.requiredPositiveInt("burst")),
	}
	if weight, found := f.optional("weight"); found {
		w.Weight = Weight(weight.positiveInt())
	}
	if rate, found := f.required("rate"); found {
		w.Rate = rate.rateValue()
	}
	listed := map[string]bool{}
	f.eachItem("databases", func(c cursor) {
		name := p.addReference(c, kindDatabase)
		if listed[name] {
			c.addMistake("%s is listed twice", name)
		}
		listed[name] = true
		w.Databases = append(w.Databases, DatabaseName(name))
	})
	f.eachItem("keys", func(c cursor) { w.Keys = append(w.Keys, p.key(c)) })
	p.document.Workspaces = append(p.document.Workspaces, w)
}

func (p *documentParser) key(c cursor) Key {
	f, ok := c.mapping("name", "verifier", "withdrawn")
	if !ok {
		return Key{}
	}
	k := Key{
		Name:      KeyName(p.defineName(f, kindKey)),
		Withdrawn: f.optionalBool("withdrawn"),
	}
	verifier, found := f.required("verifier")
	if !found {
		return k
	}
	k.Verifier = Verifier(verifier.stringValue())
	if _, err := k.Verifier.Credentials(); err != nil {
		verifier.addMistake("%s", err.Error())
	}
	return k
}

// validName reads a name and reports one that doesn't match namePattern.
func (p *documentParser) validName(c cursor) string {
	name := c.stringValue()
	if name != "" && !namePattern.MatchString(name) {
		c.addMistake("must be up to 63 lower-case letters, digits, dots, dashes and underscores")
	}
	return name
}

func (p *documentParser) requiredName(f fields, field string) string {
	c, found := f.required(field)
	if !found {
		return ""
	}
	return p.validName(c)
}

// defineName reads the field "name" and records it as the definition of a name of the
// given kind.
func (p *documentParser) defineName(f fields, kind string) string {
	c, found := f.required("name")
	if !found {
		return ""
	}
	name := p.validName(c)
	p.checkUnique(c, kind, name)
	return name
}

// checkUnique reports a name that was defined before, and records its line otherwise.
func (p *documentParser) checkUnique(c cursor, kind, name string) {
	line, found := p.definitionLines[kind+" "+name]
	if found {
		c.addMistake("%s %s is defined twice, first in line %d", kind, name, line)
		return
	}
	p.definitionLines[kind+" "+name] = c.node.Line
}

// addReference reads a name that checkReferences will look up.
func (p *documentParser) addReference(c cursor, kind string) string {
	p.references = append(p.references, reference{cursor: c, kind: kind})
	return c.stringValue()
}

// checkReferences reports the references to names that aren't defined.
func (p *documentParser) checkReferences() {
	for _, r := range p.references {
		name := r.node.Value
		if _, found := p.definitionLines[r.kind+" "+name]; !found && name != "" {
			r.addMistake("there is no %s %s", r.kind, name)
		}
	}
}
