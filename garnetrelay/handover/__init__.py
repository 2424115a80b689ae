"""A relay passes to a new process of the program while it serves. Imported only where staff may call."""
