"""The list of hosts, as received from discovery."""
