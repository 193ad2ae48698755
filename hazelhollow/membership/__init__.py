"""Fleet membership: which limiters are up, in which incarnation, and which can reach each other.

The protocol is SWIM with Lifeguard's local health. `membership.Membership` holds the state without
I/O: it is given datagrams and the current time and returns datagrams to send.
`driver.MembershipDriver` owns sockets and timers and notifies the decision engine of changes.
`timing` defines when a member becomes suspect and when it is considered dead.
"""
