"""The view of the fleet that the limiters keep themselves: who is there, in which life, and who hears whom."""
