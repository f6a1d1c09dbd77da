"""Stand-in targets, fleets of real processes, load generation, soak runs and measurements."""
