package platform

import "time"

type (
	// ServiceName names the service that a document describes.
	ServiceName string
	// UpstreamName names a database group.
	UpstreamName string
	// ServerName names one server of a group, unique in the document.
	ServerName string
	// DatabaseName is what callers connect to.
	DatabaseName string
	// WorkspaceName names a tenant.
	WorkspaceName string
	// KeyName is the user name under which a caller presents its key.
	KeyName string
	// AvailabilityZone names a zone of the platform.
	AvailabilityZone string
	// VMName names a VM of savoryramp.
	VMName string
	// Address is "host:port", with the host as an IP number.
	Address string
	// Verifier is a SCRAM-SHA-256 verifier in Postgres's form,
	// "SCRAM-SHA-256$iterations:salt$stored-key:server-key". No key can be read from it.
	Verifier string
	// RequestsPerSecond is a rate over all VMs together.
	RequestsPerSecond float64
	// Requests is a number of requests.
	Requests int
	// Connections is a number of connections to one server over all VMs together.
	Connections int
	// Slots is how many statements a server runs at once.
	Slots int
	// Weight is a workspace's part in a server's queue, relative to the others'.
	Weight int
)

// Acknowledge is the rule by which a commit is acknowledged.
type Acknowledge string

// The rules; docs/DESIGN.md says what each promises.
const (
	// ReplicaConfirmed waits until a replica has received the commit in its term.
	ReplicaConfirmed Acknowledge = "replica-confirmed"
	// TermLeased holds a short validity of the term from the table.
	TermLeased Acknowledge = "term-leased"
)

// MaxDocumentSize bounds a document's text, in bytes.
const MaxDocumentSize = 1 << 20

// Document describes one service. It is immutable once parsed.
type Document struct {
	Service    ServiceName `yaml:"service"`
	Upstreams  []Upstream  `yaml:"upstreams"`
	Databases  []Database  `yaml:"databases"`
	Workspaces []Workspace `yaml:"workspaces"`
	// Alerts is the text of the alert rules in Prometheus's rule format, line by
	// line as the team wrote it.
	Alerts string `yaml:"alerts"`
}

// Key finds a key by its name, with the workspace that it lets in.
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

// Database finds a route by its name.
func (d *Document) Database(name DatabaseName) (*Database, bool) {
	for i := range d.Databases {
		if d.Databases[i].Name == name {
			return &d.Databases[i], true
		}
	}
	return nil, false
}

// Upstream finds a group by its name.
func (d *Document) Upstream(name UpstreamName) (*Upstream, bool) {
	for i := range d.Upstreams {
		if d.Upstreams[i].Name == name {
			return &d.Upstreams[i], true
		}
	}
	return nil, false
}

// Workspace finds a workspace by its name.
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
	// User and Database are what savoryramp itself logs in with; PasswordVariable
	// names the environment variable with its password, empty for none.
	User             string   `yaml:"user"`
	Database         string   `yaml:"database"`
	PasswordVariable string   `yaml:"password-variable"`
	Servers          []Server `yaml:"servers"`
}

// Server is one server of a group.
type Server struct {
	Name             ServerName       `yaml:"name"`
	Address          Address          `yaml:"address"`
	AvailabilityZone AvailabilityZone `yaml:"availability-zone"`
	// Connections is never exceeded over all VMs together.
	Connections Connections `yaml:"connections"`
	Slots       Slots       `yaml:"slots"`
	// Leaving takes new work away from the server.
	Leaving bool `yaml:"leaving"`
}

// Database is a route: a name callers connect to, and the group behind it.
type Database struct {
	Name     DatabaseName `yaml:"name"`
	Upstream UpstreamName `yaml:"upstream"`
	// Open lets callers in without a key, as workspace OpenWorkspace.
	Open          bool          `yaml:"open"`
	OpenWorkspace WorkspaceName `yaml:"open-workspace"`
	// MaxStaleness bounds how old a replica's data may be towards others' writes.
	MaxStaleness time.Duration `yaml:"max-staleness"`
}

// Workspace is a tenant with its keys and its share of the service.
type Workspace struct {
	Name   WorkspaceName     `yaml:"name"`
	Weight Weight            `yaml:"weight"`
	Rate   RequestsPerSecond `yaml:"rate"`
	// Burst is how many requests may come at once after a quiet time.
	Burst     Requests       `yaml:"burst"`
	Databases []DatabaseName `yaml:"databases"`
	Keys      []Key          `yaml:"keys"`
}

// Key lets a caller in for its workspace until it is withdrawn.
type Key struct {
	// Name is unique in the document.
	Name      KeyName  `yaml:"name"`
	Verifier  Verifier `yaml:"verifier"`
	Withdrawn bool     `yaml:"withdrawn"`
}
