"""Membership of the fleet: which limiters are up, in which incarnation, and who hears whom.

SWIM with Lifeguard's local health. `membership.Membership` is the state without I/O: it is fed
datagrams and the time and returns datagrams to send. `driver.MembershipDriver` owns sockets and
timers and tells the decision engine what changed. `timing` says when a member is suspected and
when it is dead.
"""
