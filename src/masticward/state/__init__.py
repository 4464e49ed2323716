"""State of one process, without input or output."""
