"""The messages between the processes of the system."""
