"""What staff ask of a running relay: calls, figures, hosts taken out by hand. Imported only where they may call."""
