"""Stand-ins that the cases of the second review start."""
