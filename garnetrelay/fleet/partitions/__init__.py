"""Maps destinations to partitions, and partitions to the relays that should own them. No I/O, clock or randomness."""
