"""A model of the load that the mesh serves, in simulated time."""
