"""What a message costs, and what it costs where much is held: ``python -m benchmarks``."""
