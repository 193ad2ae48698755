// What may go wrong with the stand-in, and when. Times count from its start.
package faults

#Plan: faults: [...#Fault]

#Fault: {
	kind:   #Lasting | #Momentary
	at:     *"0ms" | #Duration // when it begins
	lasts:  *"24h" | #Duration // for the lasting kinds; for a restart, how long nobody can connect
	every?: #Duration // the momentary kinds come again after so long
	share:  *1.0 | number & >=0 & <=1 // of commands that it hits, drawn by the seed
	delay:  *"50ms" | #Duration // of slow and late: the mean
	spread: *"exponential" | "constant" | "uniform"
	age:    *"5s" | #Duration // of restart_old: how old the snapshot is
	by:     *"30s" | =~"^-?[0-9]{1,6}(ms|s|m|h)$" // of clock_jump
}

// slow: the server is held up before it runs a command, and all others wait. late: the answer is held up after it ran.
// lost: it ran, and the connection says nothing any more. cut_before, cut_after: the connection ends, before or after it ran.
// half, garbage: the answer ends half-way, or is none, and the connection ends. stall: nothing runs meanwhile.
#Lasting: "slow" | "late" | "lost" | "cut_before" | "cut_after" | "half" | "garbage" |
	"loading" | "readonly" | "oom" | "busy" | "stall" | "down"

#Momentary: "restart_empty" | "restart_old" | "flush_scripts" | "flush_data" | "clock_jump"

#Duration: =~"^[0-9]{1,6}(ms|s|m|h)$"
