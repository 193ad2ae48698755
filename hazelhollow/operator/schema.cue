// The schema of operator files. A file is unified with #Operator; a field that is not listed here is an error.
// Durations are a number with ms, s, m or h. Paths are relative to the directory in which the program was started.
package operator

#Operator: {
	log:    #Log
	store?: #Store
	fleet?: #Fleet
}

// Membership: the view of the fleet that the limiters maintain themselves. The members are the `peers` of the platform's
// configuration. If it lists none, they find each other by `seeds`: addresses of some members, which must be up for others
// to join.
#Fleet: {
	seeds: [...#Address]
	keys_file?: string // keys, one per line, of the authentication hash at the end of datagrams; the first one signs
	replicate?: #Replicate
	audit?: #Audit
	control?: #Control
	view_file?: string // a JSON line is appended to it whenever the view changes
}

// Distribution and audit of settings. A limiter with older settings gets the newer ones from the others; until then it
// accepts no new requests.
#Audit: {
	order:      *0 | int & >=0 & <=46655 // revision of the settings, to be increased with each change; SIGHUP reads it again
	state_dir?: string // folder that outlives the process, for the record of the settings in force
	samples:    *3 | int & >=0 & <=3000 // requests per second whose ids are recorded; 3000 is about all requests
}

// One budget for all traffic between limiters: membership, quota gossip, replication and settings documents.
#Control: {
	bytes_per_s: *4000 | number & >=3000 & <=1000000 // of one limiter, including headers, over any ten seconds
}

// Replication of the units charged to customers and of endpoints that operators have disabled; a limiter that starts
// catches up with the others.
#Replicate: {
	state_dir?: string // folder that outlives the process; limiters that are all killed at once resume from its snapshots
}

#Log: {
	format: *"json" | "console"
	level:  *"info" | "debug" | "warning" | "error"
}

// A shared store that speaks RESP2, as Redis does.
#Store: {
	address:          #Address
	database:         *0 | int & >=0 & <=15
	username?:        string
	password_file?:   string // its first line is the password
	tls?:             #Tls
	prefix:           *"hh" | =~"^[A-Za-z0-9_.-]{1,16}$" // prefix of every key; must differ between fleets that share a store
	call_timeout:     *"50ms" | #Duration // a call without an answer after this time has failed
	connect_timeout:  *"250ms" | #Duration
	retry_least:      *"50ms" | #Duration // first wait between attempts to connect; the wait doubles after each
	retry_most:       *"2s" | #Duration // longest wait between attempts to connect
	calls_waiting:    *256 | int & >=1 & <=4096 // maximum number of pending calls on the connection; further calls fail at once
	hold:             *"both" | "ceilings" | "quotas" // the limits that are kept in the store
	plans:            [...string] // plans whose limits are kept in the store; empty: those that have a ceiling
	lease:            #Lease
	presence:         #Presence
}

// How much of a customer's limit a limiter leases at a time.
#Lease: {
	term:       *"1500ms" | #Duration // a lease that is not renewed within this time expires
	base_share: *0.25 | number & >=0 & <=0.9 // share of each limit that is divided evenly and never kept in the store
	ahead:      *"600ms" | #Duration // usage to lease in advance, at the customer's rate at this limiter
}

// Limiters send heartbeats to the store; the share of a limiter that sends none is reserved for it.
#Presence: {
	every: *"500ms" | #Duration // interval between heartbeats
	term:  *"1200ms" | #Duration // a limiter counts as present for this time after a heartbeat
}

#Tls: {
	ca_file:      string
	cert_file?:   string
	key_file?:    string
	server_name?: string
}

#Address:  =~"^[A-Za-z0-9.-]+:[0-9]{1,5}$"
#Duration: =~"^[0-9]{1,6}(ms|s|m|h)$"
