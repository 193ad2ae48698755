// The format of a plan of faults for the stand-in. Times count from the start of the stand-in.
package faults

#Plan: faults: [...#Fault]

#Fault: {
	kind:   #Lasting | #Momentary
	at:     *"0ms" | #Duration // when the fault begins
	lasts:  *"24h" | #Duration // duration of a lasting kind; for a restart, how long connections are refused
	every?: #Duration // interval at which a momentary kind repeats; absent: it occurs once
	share:  *1.0 | number & >=0 & <=1 // share of the commands that are affected, drawn from the seed
	delay:  *"50ms" | #Duration // of slow and late: the mean delay
	spread: *"exponential" | "constant" | "uniform"
	age:    *"5s" | #Duration // of restart_old: age of the snapshot that is restored
	by:     *"30s" | =~"^-?[0-9]{1,6}(ms|s|m|h)$" // of clock_jump: how far the clock moves
}

// slow: a command is delayed before it runs, and all later commands wait. late: the reply is delayed after the command ran.
// lost: the command runs, but the connection receives no more replies. cut_before, cut_after: the connection is closed before
// or after the command runs. half, garbage: half of the reply or random bytes are sent, then the connection is closed.
// loading, readonly, oom, busy: commands fail as in a Redis in this state. stall: no command runs. down: all connections are
// closed and new ones are refused.
#Lasting: "slow" | "late" | "lost" | "cut_before" | "cut_after" | "half" | "garbage" |
	"loading" | "readonly" | "oom" | "busy" | "stall" | "down"

#Momentary: "restart_empty" | "restart_old" | "flush_scripts" | "flush_data" | "clock_jump"

#Duration: =~"^[0-9]{1,6}(ms|s|m|h)$"
