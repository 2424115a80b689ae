"""What the size that is coming asks of each role: slopes measured anew, figures at the size, budgets."""
