"""Simulated partners: the model of their behaviour (no I/O) and their HTTP endpoints on loopback."""
