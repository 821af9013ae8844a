package platform

import "time"

type (
	// ServiceName is the name of the service that a document describes.
	ServiceName string
	// UpstreamName is the name of an upstream, a database group.
	UpstreamName string
	// ServerName is the name of a server of an upstream, unique in the document.
	ServerName string
	// DatabaseName is the database name that callers connect to.
	DatabaseName string
	// WorkspaceName is the name of a workspace.
	WorkspaceName string
	// KeyName is the name of a key, which callers give as their user name.
	KeyName string
	// AvailabilityZone is the name of an availability zone.
	AvailabilityZone string
	// VMName is the name of a VM that runs savoryramp.
	VMName string
	// Address is "host:port", with an IP address as the host.
	Address string
	// Verifier is a SCRAM-SHA-256 verifier in PostgreSQL's format,
	// "SCRAM-SHA-256$iterations:salt$stored-key:server-key". The key's secret can't be
	// derived from it.
	Verifier string
	// RequestsPerSecond is a rate of requests, summed over all VMs.
	RequestsPerSecond float64
	// Requests is a number of requests, such as the size of a burst.
	Requests int
	// Connections is a number of connections to one server, summed over all VMs.
	Connections int
	// Slots is the number of statements that a server runs concurrently.
	Slots int
	// Weight is a workspace's share of a server's queue relative to other workspaces.
	Weight int
)

// Acknowledge is the rule that decides when a commit is acknowledged.
type Acknowledge string

// The acknowledgement rules; docs/DESIGN.md describes their guarantees.
const (
	// ReplicaConfirmed acknowledges a commit once a replica has received it in the term
	// in which it was made.
	ReplicaConfirmed Acknowledge = "replica-confirmed"
	// TermLeased acknowledges a commit while the term holds a short lease from the table.
	TermLeased Acknowledge = "term-leased"
)

// MaxDocumentSize is the maximum size of a document's text in bytes.
const MaxDocumentSize = 1 << 20

// Document describes one service. It is immutable once parsed.
type Document struct {
	Service    ServiceName `yaml:"service"`
	Upstreams  []Upstream  `yaml:"upstreams"`
	Databases  []Database  `yaml:"databases"`
	Workspaces []Workspace `yaml:"workspaces"`
	// Alerts is the text of the alert rules in Prometheus's rule format, exactly as it
	// stands in the document.
	Alerts string `yaml:"alerts"`
}

// Key returns a key by its name, and the workspace that it belongs to.
func (d *Document) Key(name KeyName) (*Workspace, *Key, bool) {
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		for j := range w.Keys {
			if w.Keys[j].Name == name {
				return w, &w.Keys[j], true
			}
		}
	}
	return nil, nil, false
}

// Database returns a database by its name.
func (d *Document) Database(name DatabaseName) (*Database, bool) {
	for i := range d.Databases {
		if d.Databases[i].Name == name {
			return &d.Databases[i], true
		}
	}
	return nil, false
}

// Upstream returns an upstream by its name.
func (d *Document) Upstream(name UpstreamName) (*Upstream, bool) {
	for i := range d.Upstreams {
		if d.Upstreams[i].Name == name {
			return &d.Upstreams[i], true
		}
	}
	return nil, false
}

// Workspace returns a workspace by its name.
func (d *Document) Workspace(name WorkspaceName) (*Workspace, bool) {
	for i := range d.Workspaces {
		if d.Workspaces[i].Name == name {
			return &d.Workspaces[i], true
		}
	}
	return nil, false
}

// Upstream is a database group: a primary and its replicas.
type Upstream struct {
	Name        UpstreamName `yaml:"name"`
	Acknowledge Acknowledge  `yaml:"acknowledge"`
	// User and Database are used for savoryramp's own login. PasswordVariable names the
	// environment variable that holds the password; it is empty for none.
	User             string   `yaml:"user"`
	Database         string   `yaml:"database"`
	PasswordVariable string   `yaml:"password-variable"`
	Servers          []Server `yaml:"servers"`
}

// Server is one server of an upstream.
type Server struct {
	Name             ServerName       `yaml:"name"`
	Address          Address          `yaml:"address"`
	AvailabilityZone AvailabilityZone `yaml:"availability-zone"`
	// Connections is the limit for all VMs together.
	Connections Connections `yaml:"connections"`
	Slots       Slots       `yaml:"slots"`
	// Leaving is set while the server is being removed and gets no new work.
	Leaving bool `yaml:"leaving"`
}

// Database is a database name that callers connect to, with the upstream that serves it.
type Database struct {
	Name     DatabaseName `yaml:"name"`
	Upstream UpstreamName `yaml:"upstream"`
	// Open admits callers without a key, as members of OpenWorkspace.
	Open          bool          `yaml:"open"`
	OpenWorkspace WorkspaceName `yaml:"open-workspace"`
	// MaxStaleness limits how far a replica's data may lag behind other sessions' writes.
	MaxStaleness time.Duration `yaml:"max-staleness"`
}

// Workspace is a tenant with its keys and its limits.
type Workspace struct {
	Name   WorkspaceName     `yaml:"name"`
	Weight Weight            `yaml:"weight"`
	Rate   RequestsPerSecond `yaml:"rate"`
	// Burst is the number of requests admitted at once after an idle period.
	Burst     Requests       `yaml:"burst"`
	Databases []DatabaseName `yaml:"databases"`
	Keys      []Key          `yaml:"keys"`
}

// Key admits callers to its workspace until it is withdrawn.
type Key struct {
	// Name is unique in the document.
	Name      KeyName  `yaml:"name"`
	Verifier  Verifier `yaml:"verifier"`
	Withdrawn bool     `yaml:"withdrawn"`
}
