"""The program on entry VMs."""
