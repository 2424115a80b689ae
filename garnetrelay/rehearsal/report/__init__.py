"""Reports of a run: a live view for the terminal, JSON, and a self-contained HTML page."""
