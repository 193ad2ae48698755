// Enables what limiters know of each other beyond the platform's gossip: membership (the view of the fleet), replication,
// and the audit of which limiter acts on which settings. Members are the `peers` of the configuration, and only their
// datagrams are used. The platform's own deployment does not use this file.
// `python -m hazelhollow config check deploy/fleet.cue` reports what is wrong with such a file.
package operator

log: format: "console"

fleet: {
	replicate: {
		// state_dir: "/var/lib/hazelhollow"        for snapshots: if all end at once, they restore the levels; after a kill only debts
	}
	audit: {
		order: 0 // revision of the settings, to be increased with each change, at any one limiter
		// state_dir: "/var/lib/hazelhollow"        for the record that `fleet audit` reads
	}
	// control: bytes_per_s: 4000                    budget for all that one limiter sends to the others; needs a restart
	// keys_file: "/etc/hazelhollow/view.keys"    one key a line, of at least 16 bytes; SIGHUP reads it again
	// view_file: "/var/lib/hazelhollow/view.jsonl"
}
