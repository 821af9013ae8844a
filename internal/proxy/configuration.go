package proxy

import "time"

type (
	// ServiceName names a database group.
	ServiceName string
	// DatabaseName is what callers connect to.
	DatabaseName string
	// WorkspaceName names a tenant.
	WorkspaceName string
	// Key lets a caller in for its workspace.
	Key string
	// ServerID names a server, never its address.
	ServerID string
	// VMName names a VM of savoryramp.
	VMName string
	// AvailabilityZone names a zone of the platform.
	AvailabilityZone string
	// Address is "host:port", with the host as an IP number.
	Address string
	// ConfigurationVersion rises with each configuration, in uneven steps.
	ConfigurationVersion int64
	// OperationsPerSecond is a rate over all VMs together.
	OperationsPerSecond float64
	// Operations is a number of operations; a transaction is one.
	Operations float64
	// Priority of a route; 0 is the highest.
	Priority int
)

// Consistency is what a route's reads may miss.
type Consistency string

// The consistencies.
const (
	// Linearizable reads miss no acknowledged commit.
	Linearizable Consistency = "linearizable"
	// BoundedStaleness reads miss no commit older than the route's bound.
	BoundedStaleness Consistency = "bounded-staleness"
	// ReadYourWrites reads keep the bound and miss none of their session's commits.
	ReadYourWrites Consistency = "read-your-writes"
)

// Configuration is all that operators decide. It isn't changed once built.
type Configuration struct {
	Version    ConfigurationVersion
	Routes     map[DatabaseName]*Route
	Services   map[ServiceName]*Service
	Workspaces map[WorkspaceName]*Workspace
	// Keys has the workspaces that they let in.
	Keys map[Key]*Workspace
	// TransactionIdle is how long a transaction may rest before it is rolled back.
	TransactionIdleTimeout time.Duration
	// Raw is the document as it was written, for other VMs.
	Raw []byte
}

// Route leads from a database name to a group.
type Route struct {
	Database    DatabaseName
	Service     ServiceName
	Consistency Consistency
	// MaxStaleness bounds the age of commits that reads may miss; zero where none may be.
	MaxStaleness time.Duration
	// StatementTimeout bounds a single statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	Priority      Priority
	// Public routes ask for no key.
	Public bool
}

// Service is a database group.
type Service struct {
	Name ServiceName
	// Connections to each server, of all VMs together, are at most this many.
	Connections int
	// SyncReplicas have received a commit before it is acknowledged.
	SyncReplicas int
}

// Workspace is a tenant with its rate over all VMs.
type Workspace struct {
	Name     WorkspaceName
	Rate     OperationsPerSecond
	Burst    Operations
	Priority Priority
}

// Server is one server of a group, as the platform lists it.
type Server struct {
	ID      ServerID         `json:"id"`
	Service ServiceName      `json:"service"`
	Address Address          `json:"address"`
	Zone    AvailabilityZone `json:"availability-zone"`
	// Slots is how many statements it runs at once.
	Slots int `json:"slots"`
	// Leaving servers take no new work.
	Leaving bool `json:"leaving"`
	// Primary is what the server says of itself; it may be out of date.
	Primary bool `json:"primary"`
}
