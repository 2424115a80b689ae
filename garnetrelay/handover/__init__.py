"""Handover of a running relay to a new process of the program. Imported only where operators may upgrade the relay."""
