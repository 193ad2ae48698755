// Faults of the Redis stand-in and their times, which count from the stand-in's start.
package faults

#Plan: faults: [...#Fault]

#Fault: {
	kind:   #Lasting | #Momentary
	at:     *"0ms" | #Duration // when the fault begins
	lasts:  *"24h" | #Duration // duration of the lasting kinds; for a restart, how long no client can connect
	every?: #Duration // the momentary kinds are repeated at this interval
	share:  *1.0 | number & >=0 & <=1 // share of the commands that the fault affects, drawn with the seed
	delay:  *"50ms" | #Duration // mean delay of slow and late
	spread: *"exponential" | "constant" | "uniform"
	age:    *"5s" | #Duration // age of the snapshot that restart_old loads
	by:     *"30s" | =~"^-?[0-9]{1,6}(ms|s|m|h)$" // how far clock_jump moves the clock
}

// slow: the server is delayed before it runs a command, and all other commands wait. late: the answer is delayed after the command ran.
// lost: the command ran, and the connection sends nothing any more.
// cut_before, cut_after: the connection ends before or after the command ran.
// half, garbage: the answer is cut off half-way, or is not a valid answer, and the connection ends.
// stall: no command runs during the fault.
#Lasting: "slow" | "late" | "lost" | "cut_before" | "cut_after" | "half" | "garbage" |
	"loading" | "readonly" | "oom" | "busy" | "stall" | "down"

#Momentary: "restart_empty" | "restart_old" | "flush_scripts" | "flush_data" | "clock_jump"

#Duration: =~"^[0-9]{1,6}(ms|s|m|h)$"
