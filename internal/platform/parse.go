package platform

import (
	"net/netip"
	"regexp"
)

const (
	// maxRate bounds a workspace's rate, in requests.
	maxRate = 1e9
	// maxNumber bounds bursts, connections, slots and weights, whose sums in millionths
	// must stay in range.
	maxNumber     = 1_000_000_000
	defaultWeight = 1
)

// A name is used in log lines, metric labels, row keys and wire messages.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// parsing collects a document and what is wrong with it.
type parsing struct {
	document Document
	mistakes []Mistake
	// named holds where each kind and name was defined.
	named      map[string]int
	references []reference
}

// reference is a use of a name that has to be defined somewhere in the document.
type reference struct {
	cursor
	kind string
}

const (
	kindUpstream  = "upstream"
	kindServer    = "server"
	kindAddress   = "address"
	kindDatabase  = "database"
	kindWorkspace = "workspace"
	kindKey       = "key"
)

// Parse reads a document strictly. ErrDocument lists every mistake in it.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxDocumentSize {
		return nil, documentError([]Mistake{{Text: "is larger than 1 MiB"}})
	}
	p := &parsing{named: map[string]int{}}
	if c, ok := root(text, &p.mistakes, "", 0); ok {
		p.service(c)
		p.resolve()
	}
	if len(p.mistakes) > 0 {
		return nil, documentError(p.mistakes)
	}
	return &p.document, nil
}

func (p *parsing) service(c cursor) {
	f, ok := c.object("service", "upstreams", "databases", "workspaces", "alerts")
	if !ok {
		return
	}
	if name, found := f.required("service"); found {
		p.document.Service = ServiceName(p.name(name))
	}
	f.each("upstreams", p.upstream)
	f.each("databases", p.database)
	f.each("workspaces", p.workspace)
	if alerts, found := f.optional("alerts"); found {
		p.document.Alerts = alerts.alerts()
	}
}

func (p *parsing) upstream(c cursor) {
	f, ok := c.object("name", "acknowledge", "user", "database", "password-variable", "servers")
	if !ok {
		return
	}
	u := Upstream{
		Name:             UpstreamName(p.define(f, kindUpstream)),
		Acknowledge:      f.acknowledge(),
		User:             f.text("user"),
		Database:         f.text("database"),
		PasswordVariable: f.optionalText("password-variable"),
	}
	f.each("servers", func(c cursor) { u.Servers = append(u.Servers, p.server(c)) })
	p.document.Upstreams = append(p.document.Upstreams, u)
}

func (f fields) acknowledge() Acknowledge {
	c, found := f.optional("acknowledge")
	if !found {
		return ReplicaConfirmed
	}
	switch a := Acknowledge(c.text()); a {
	case ReplicaConfirmed, TermLeased:
		return a
	}
	c.mistake("must be %s or %s", ReplicaConfirmed, TermLeased)
	return ""
}

func (p *parsing) server(c cursor) Server {
	f, ok := c.object("name", "address", "availability-zone", "connections", "slots", "leaving")
	if !ok {
		return Server{}
	}
	return Server{
		Name:             ServerName(p.define(f, kindServer)),
		Address:          p.address(f),
		AvailabilityZone: AvailabilityZone(p.requiredName(f, "availability-zone")),
		Connections:      Connections(f.positive("connections")),
		Slots:            Slots(f.positive("slots")),
		Leaving:          f.boolean("leaving"),
	}
}

func (p *parsing) address(f fields) Address {
	c, found := f.required("address")
	if !found {
		return ""
	}
	text := c.text()
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		c.mistake("must be an IP number and a port such as 10.0.0.1:5432")
		return ""
	}
	p.unique(c, kindAddress, address.String())
	return Address(text)
}

func (p *parsing) database(c cursor) {
	f, ok := c.object("name", "upstream", "open", "open-workspace", "max-staleness")
	if !ok {
		return
	}
	d := Database{
		Name:         DatabaseName(p.define(f, kindDatabase)),
		Open:         f.boolean("open"),
		MaxStaleness: f.duration("max-staleness"),
	}
	if upstream, found := f.required("upstream"); found {
		d.Upstream = UpstreamName(p.refer(upstream, kindUpstream))
	}
	workspace, found := f.optional("open-workspace")
	if found {
		d.OpenWorkspace = WorkspaceName(p.refer(workspace, kindWorkspace))
	}
	if found && !d.Open {
		workspace.mistake("is for open databases only")
	}
	if d.Open && !found {
		f.at(f.node, f.child("open-workspace")).mistake("is missing for an open database")
	}
	p.document.Databases = append(p.document.Databases, d)
}

func (p *parsing) workspace(c cursor) {
	f, ok := c.object("name", "weight", "rate", "burst", "databases", "keys")
	if !ok {
		return
	}
	w := Workspace{
		Name:   WorkspaceName(p.define(f, kindWorkspace)),
		Weight: defaultWeight,
		Burst:  Requests(f.positive("burst")),
	}
	if weight, found := f.optional("weight"); found {
		w.Weight = Weight(weight.positive())
	}
	if rate, found := f.required("rate"); found {
		w.Rate = rate.rate()
	}
	listed := map[string]bool{}
	f.each("databases", func(c cursor) {
		name := p.refer(c, kindDatabase)
		if listed[name] {
			c.mistake("%s is listed twice", name)
		}
		listed[name] = true
		w.Databases = append(w.Databases, DatabaseName(name))
	})
	f.each("keys", func(c cursor) { w.Keys = append(w.Keys, p.key(c)) })
	p.document.Workspaces = append(p.document.Workspaces, w)
}

func (p *parsing) key(c cursor) Key {
	f, ok := c.object("name", "verifier", "withdrawn")
	if !ok {
		return Key{}
	}
	k := Key{
		Name:      KeyName(p.define(f, kindKey)),
		Withdrawn: f.boolean("withdrawn"),
	}
	verifier, found := f.required("verifier")
	if !found {
		return k
	}
	k.Verifier = Verifier(verifier.text())
	if _, err := k.Verifier.Credentials(); err != nil {
		verifier.mistake("%s", err.Error())
	}
	return k
}

func (p *parsing) name(c cursor) string {
	name := c.text()
	if name != "" && !namePattern.MatchString(name) {
		c.mistake("must be up to 63 lower-case letters, digits, dots, dashes and underscores")
	}
	return name
}

func (p *parsing) requiredName(f fields, field string) string {
	c, found := f.required(field)
	if !found {
		return ""
	}
	return p.name(c)
}

// define reads the name of the thing that f describes.
func (p *parsing) define(f fields, kind string) string {
	c, found := f.required("name")
	if !found {
		return ""
	}
	name := p.name(c)
	p.unique(c, kind, name)
	return name
}

func (p *parsing) unique(c cursor, kind, name string) {
	line, found := p.named[kind+" "+name]
	if found {
		c.mistake("%s %s is defined twice, first in line %d", kind, name, line)
		return
	}
	p.named[kind+" "+name] = c.node.Line
}

func (p *parsing) refer(c cursor, kind string) string {
	p.references = append(p.references, reference{cursor: c, kind: kind})
	return c.text()
}

func (p *parsing) resolve() {
	for _, r := range p.references {
		name := r.node.Value
		if _, found := p.named[r.kind+" "+name]; !found && name != "" {
			r.mistake("there is no %s %s", r.kind, name)
		}
	}
}
