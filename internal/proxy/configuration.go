package proxy

import (
	"time"

	"github.com/savoryramp/savoryramp/pkg/placement"
)

type (
	// ServiceName names a database group.
	ServiceName string
	// DatabaseName is the name of a database that callers connect to.
	DatabaseName string
	// WorkspaceName names a tenant.
	WorkspaceName string
	// Key authenticates a caller as a member of its workspace.
	Key string
	// ServerID identifies a server independently of its address.
	ServerID string
	// VMName names a VM of savoryramp.
	VMName string
	// AvailabilityZone names a zone of the platform.
	AvailabilityZone string
	// Address is "host:port", where the host is an IP address.
	Address string
	// ConfigurationVersion increases with each configuration, not necessarily by one.
	ConfigurationVersion int64
	// OperationsPerSecond is a rate limit that covers all VMs together.
	OperationsPerSecond float64
	// Operations counts operations; a whole transaction is one operation.
	Operations float64
	// Priority orders routes and workspaces; 0 is the highest priority.
	Priority int
)

// Consistency defines which commits the reads of a route may miss.
type Consistency string

// Consistency levels of a route.
const (
	// Linearizable reads see every commit that was acknowledged before they started.
	Linearizable Consistency = "linearizable"
	// BoundedStaleness and ReadYourWrites reads see every commit older than the route's
	// MaxStaleness and all commits of their own session; the proxy treats the two alike.
	BoundedStaleness Consistency = "bounded-staleness"
	ReadYourWrites   Consistency = "read-your-writes"
)

// Configuration holds everything that operators configure. It is immutable once built.
type Configuration struct {
	Version    ConfigurationVersion
	Routes     map[DatabaseName]*Route
	Services   map[ServiceName]*Service
	Workspaces map[WorkspaceName]*Workspace
	// Keys maps each key to the workspace that it authenticates for.
	Keys map[Key]*Workspace
	// TransactionIdleTimeout is how long a transaction may wait for its caller's next statement
	// before it is rolled back.
	TransactionIdleTimeout time.Duration
	// Raw is the configuration document in its original form, for forwarding to other VMs.
	Raw []byte
}

// Route maps a database name to the database group that serves it.
type Route struct {
	Database    DatabaseName
	Service     ServiceName
	Consistency Consistency
	// MaxStaleness is the age from which on reads must see a commit, or zero if they must see
	// all commits.
	MaxStaleness time.Duration
	// StatementTimeout limits the duration of a single statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective of a whole operation.
	TargetLatency time.Duration
	Priority      Priority
	// Public routes don't require a key.
	Public bool
	// AllowedRegions has the regions to which statements may go, nil if they may go to all.
	AllowedRegions map[placement.Region]bool
}

// Service is a database group.
type Service struct {
	Name ServiceName
	// Connections limits the connections to each server, of all VMs together.
	Connections int
	// SyncReplicas is the number of replicas that must have received a commit before it is
	// acknowledged.
	SyncReplicas int
	// WarmupPerSecond is how many requests a second a cold server is meant to get, zero for no limit.
	WarmupPerSecond float64
}

// Workspace is a tenant and its rate limit, which covers all VMs together.
type Workspace struct {
	Name     WorkspaceName
	Rate     OperationsPerSecond
	Burst    Operations
	Priority Priority
	// AllowedRegions has the regions to which statements may go, nil if they may go to all.
	AllowedRegions map[placement.Region]bool
}

// Server is a server of a database group, as listed by the platform.
type Server struct {
	ID      ServerID         `json:"id"`
	Service ServiceName      `json:"service"`
	Address Address          `json:"address"`
	Zone    AvailabilityZone `json:"availability-zone"`
	// Slots is the number of statements that the server runs concurrently.
	Slots int `json:"slots"`
	// Leaving is true for a server that is shutting down. It gets no new reads that another
	// server may run; a leaving primary gets writes and linearizable reads until it is replaced.
	Leaving bool `json:"leaving"`
	// Primary is the server's own claim to be the primary, which may be out of date.
	Primary bool `json:"primary"`
	// Cold is true for a while after the server has started.
	Cold bool `json:"cold,omitempty"`
}
