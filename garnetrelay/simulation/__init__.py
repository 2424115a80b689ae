"""Simulates a fleet of up to 1,000 members on one clock: the decision logic of `fleet/` with seeded links and faults."""
