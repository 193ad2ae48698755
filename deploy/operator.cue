// An example for sites with a shared store: a limiter with its ceilings in a Redis at port 6390 of this machine.
// `python -m hazelhollow config check deploy/operator.cue` reports what is wrong with such a file,
// and `config show` prints all settings, defaults included. The platform's own deployment does not use this file.
package operator

log: format: "console"

store: {
	address:      "127.0.0.1:6390"
	call_timeout: "50ms"
	hold:         "both"
}
