"""What one more of each thing costs, measured."""
