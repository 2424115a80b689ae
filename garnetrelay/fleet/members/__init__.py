"""Membership and failure detection, and how far a view of the fleet can be relied on. No I/O, no clock, no randomness
of its own.

SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002)
with Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
2017).
"""
