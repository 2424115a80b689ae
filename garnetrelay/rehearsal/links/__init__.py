"""A network between real relays that loses, delays, doubles, damages and cuts, each direction of each pair on its own."""
