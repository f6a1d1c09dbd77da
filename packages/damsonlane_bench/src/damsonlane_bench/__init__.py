"""Stand-ins for targets, and tools that load and measure the system."""
