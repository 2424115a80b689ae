"""Simulated network between real relays: loss, delay, duplication, damage and cuts, per direction of each pair."""
