"""Jobs of the capacity benchmark."""
