// Switches on what limiters know of each other beyond the platform's gossip: the view of the fleet. Its members are the
// `peers` of the configuration, and their datagrams the only way it uses. The platform's own deployment does not use it.
// `python -m hazelhollow config check deploy/fleet.cue` says what is wrong with such a file.
package operator

log: format: "console"

fleet: {
	// keys_file: "/etc/hazelhollow/view.keys"    one key a line, of 16 bytes at least; SIGHUP reads it again
	// view_file: "/var/lib/hazelhollow/view.jsonl"
}
