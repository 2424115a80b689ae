"""The rehearsal kit: real relays among stand-ins on loopback, and a checker that names each broken rule."""
