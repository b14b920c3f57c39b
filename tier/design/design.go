// Package design describes the services that an entry host offers to callers and
// operators in the Goa design language. Run `make generate` after a change; the generated
// code in tier/gen is committed.
package design

import (
	. "goa.design/goa/v3/dsl" //nolint:revive,staticcheck // the goa design language is made for dot imports
)

var _ = API("loomgap", func() {
	Title("Loomgap query tier")
	Description("Asks questions of data in many shards and describes each answer truthfully.")
	Server("loomd", func() {
		Services("entry", "ops")
		Host("local", func() { URI("http://127.0.0.1:7400") })
	})
})

// rowField is a named value of a row.
var rowField = Type("Field", func() {
	Attribute("Name", String, "Name of the field")
	Attribute("Value", String, "Value as text")
	Required("Name", "Value")
})

// Row is a record.
var Row = Type("Row", func() {
	Attribute("Key", String, "Key of the record")
	Attribute("Fields", ArrayOf(rowField), "Fields in the shard's order")
	Required("Key", "Fields")
})

// KeyRange is a half-open key range.
var KeyRange = Type("KeyRange", func() {
	Attribute("From", UInt32, "First key")
	Attribute("To", UInt32, "Key after the last one")
	Required("From", "To")
})

// Missing is a key range that is missing from an answer.
var Missing = Type("Missing", func() {
	Attribute("Shard", String, "Shard that holds the range")
	Attribute("From", UInt32, "First key")
	Attribute("To", UInt32, "Key after the last one")
	Attribute("Reason", String, "Why it is missing: Late, Unreachable, Refused, SnapshotGone, Moved, Garbage, NoRoom")
	Required("Shard", "From", "To", "Reason")
})

// Answer is the result of one request.
var Answer = Type("Answer", func() {
	Attribute("RequestID", String, "ID of the request, also its ticket where it is not repeatable")
	Attribute("Class", String, "Class of the request")
	Attribute("Outcome", String, "What became of the request", func() {
		Enum("Complete", "Partial", "NotRun", "Unknown")
	})
	Attribute("Remedy", String, "What the caller can do when the outcome is not Complete")
	Attribute("Count", UInt64, "Matching records in the included ranges")
	Attribute("Rows", ArrayOf(Row), "Rows, merged, sorted and cut to the limit")
	Attribute("Asked", UInt32, "Number of shards that the request concerns")
	Attribute("Included", ArrayOf(KeyRange), "Key ranges that the answer includes, joined where they touch")
	Attribute("Missing", ArrayOf(Missing), "Key ranges that the answer lacks")
	Attribute("Snapshot", UInt64, "Index snapshot of every included part")
	Attribute("Revision", UInt64, "Configuration revision that the request was held to")
	Attribute("MapRevision", UInt64, "Shard map revision that the request was held to")
	Attribute("EntryHost", String, "Entry host that answered")
	Attribute("Attempts", UInt32, "Upstream calls that were made, hedges and retries included")
	Attribute("RetryAfterMillis", UInt64, "Milliseconds to wait before asking again after NotRun")
	Required("RequestID", "Class", "Outcome", "Count", "Rows", "Asked", "Included", "Missing",
		"Snapshot", "Revision", "MapRevision", "EntryHost", "Attempts")
})

// faultType is the body of an error response.
var faultType = Type("Fault", func() {
	ErrorName("Kind", String, "Kind of the error")
	Attribute("Message", String, "What is wrong, where, and the remedy")
	Required("Kind", "Message")
})

func answerResponses() {
	Response(StatusServiceUnavailable, func() {
		Tag("Outcome", "NotRun")
	})
	Response(StatusOK)
	Response("Invalid", StatusBadRequest)
}

var _ = Service("entry", func() {
	Description("Serves callers.")
	Error("Invalid", faultType, "The request is wrong; it did not run")
	Error("Busy", faultType, "The host takes no new work; the request did not run")

	Method("ask", func() {
		Description("Asks a repeatable question.")
		Payload(func() {
			Attribute("Statement", String, "Statement of the query language", func() { MaxLength(16384) })
			Attribute("Class", String, "Class of the request", func() { MaxLength(64) })
			Attribute("DeadlineMillis", Int64, "Time the caller gives, 0 for the class's own")
			Required("Statement", "Class")
		})
		Result(Answer)
		HTTP(func() {
			POST("/ask")
			answerResponses()
		})
	})
	Method("ticket", func() {
		Description("Mints a ticket for one not-repeatable request.")
		Result(func() {
			Attribute("Ticket", String, "The ticket; the same one goes with every try of the request")
			Attribute("ExpiresMillis", Int64, "Milliseconds until the ticket expires")
			Required("Ticket", "ExpiresMillis")
		})
		HTTP(func() {
			POST("/tickets")
			Response(StatusOK)
			Response("Invalid", StatusBadRequest)
			Response("Busy", StatusServiceUnavailable)
		})
	})
	Method("order", func() {
		Description("Runs a not-repeatable request at most once.")
		Payload(func() {
			Attribute("Ticket", String, "Ticket minted for this request", func() { MaxLength(256) })
			Attribute("Statement", String, "A place statement", func() { MaxLength(16384) })
			Attribute("Class", String, "Class of the request", func() { MaxLength(64) })
			Attribute("DeadlineMillis", Int64, "Time the caller gives, 0 for the class's own")
			Required("Ticket", "Statement", "Class")
		})
		Result(Answer)
		HTTP(func() {
			POST("/orders")
			answerResponses()
		})
	})
})

// Member is an entry host as seen by another.
var Member = Type("Member", func() {
	Attribute("Name", String)
	Attribute("Incarnation", String)
	Attribute("State", String, func() { Enum("Live", "Silent", "Leaving") })
	Attribute("Revision", UInt64)
	Required("Name", "Incarnation", "State", "Revision")
})

// UpstreamStatus is an upstream as seen by this host.
var UpstreamStatus = Type("UpstreamStatus", func() {
	Attribute("Name", String)
	Attribute("State", String, func() { Enum("Live", "Slow", "Ejected", "Leaving", "Evacuated", "Cold") })
	Attribute("ColdOwner", String, "Host that makes the calls to it while it is cold and bears a bounded number; empty for any")
	Attribute("InUse", UInt32, "Slots in use by this host")
	Attribute("Share", UInt32, "Slots that this host may use")
	Attribute("Queued", UInt32, "Calls that wait for a slot")
	Attribute("LatencyMicros", UInt64, "Smoothed latency in microseconds")
	Attribute("Oldest", UInt64, "Oldest snapshot held")
	Attribute("Newest", UInt64, "Newest snapshot held")
	Required("Name", "State", "ColdOwner", "InUse", "Share", "Queued", "LatencyMicros", "Oldest", "Newest")
})

// GateStatus is the gate of one set of groups.
var GateStatus = Type("GateStatus", func() {
	Attribute("Groups", String, "Set of groups: its first group and the number of groups")
	Attribute("Base", UInt32, "Fair share of this host of the places")
	Attribute("Places", UInt32, "Requests that may be in flight; 0 while there is no limit")
	Attribute("Limited", Boolean, "Whether a shortage is measured")
	Attribute("Reason", String, "Sign of the last shortage: Queues, Shed or Host; empty for none")
	Attribute("InFlight", UInt32, "Requests in flight")
	Attribute("Waiting", UInt32, "Requests that wait")
	Attribute("WaitingByRank", MapOf(Int, UInt32), "Requests that wait, by rank")
	Attribute("Refused", UInt64, "Requests refused since the gate exists")
	Attribute("RefusedRecently", UInt64, "Requests refused within the last 10 to 20 seconds")
	Attribute("PerSecond", Float64, "Requests that leave in a second")
	Attribute("ServiceMicros", UInt64, "Service time of one call in microseconds")
	Required("Groups", "Base", "Places", "Limited", "Reason", "InFlight", "Waiting", "WaitingByRank", "Refused",
		"RefusedRecently", "PerSecond", "ServiceMicros")
})

var _ = Service("ops", func() {
	Description("Serves operators, at an address of its own.")
	Error("Busy", faultType, "The host takes no new work")

	Method("status", func() {
		Description("Describes the host and what it believes.")
		Result(func() {
			Attribute("Host", String)
			Attribute("Hall", String)
			Attribute("Region", String, "Region of the hall; empty if the settings do not name it")
			Attribute("EvacuatedHalls", ArrayOf(String), "Halls whose upstreams get nothing")
			Attribute("Incarnation", String)
			Attribute("State", String, func() { Enum("Starting", "Ready", "Draining") })
			Attribute("Revision", UInt64, "Configuration revision in force")
			Attribute("Digest", String, "Digest of the document in force")
			Attribute("Refused", String, "Why the newest refused document was refused")
			Attribute("PlatformSilentMillis", Int64, "Time since the hall last heard the platform")
			Attribute("Watching", Boolean, "Whether this host watches the platform")
			Attribute("InFlight", Int64, "Requests in flight")
			Attribute("Members", ArrayOf(Member))
			Attribute("Upstreams", ArrayOf(UpstreamStatus))
			Attribute("Gates", ArrayOf(GateStatus), "Gates of routed requests; hosts without overload control have none")
			Required("Host", "Hall", "Region", "EvacuatedHalls", "Incarnation", "State", "Revision", "Digest", "Refused",
				"PlatformSilentMillis", "Watching", "InFlight", "Members", "Upstreams")
		})
		HTTP(func() { GET("/status") })
	})
	Method("document", func() {
		Description("Gives the configuration document in force.")
		Result(func() {
			Attribute("Revision", UInt64)
			Attribute("Newest", UInt64, "Newest revision published, refused ones included")
			Attribute("Document", String)
			Required("Revision", "Newest", "Document")
		})
		HTTP(func() { GET("/document") })
	})
	Method("ready", func() {
		Description("Tells the balancer whether to send work.")
		HTTP(func() {
			GET("/ready")
			Response(StatusOK)
			Response("Busy", StatusServiceUnavailable)
		})
	})
	Method("drain", func() {
		Description("Begins a planned stop; what is in flight is finished.")
		HTTP(func() {
			POST("/drain")
			Response(StatusAccepted)
		})
	})
})
