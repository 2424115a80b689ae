"""Operators' access to a running relay: commands, metrics, excluded hosts. Imported only if it is configured."""
